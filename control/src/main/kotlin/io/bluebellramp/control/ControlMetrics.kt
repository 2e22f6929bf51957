package io.bluebellramp.control

import io.bluebellramp.runtime.gauge
import io.prometheus.metrics.model.registry.PrometheusRegistry

/** Registers the metrics of [control] in [registry]. */
internal fun registerMetrics(
    control: Control,
    registry: PrometheusRegistry,
) {
    val log = control.log
    registry.gauge("bluebellramp_control_term", "Current term of the log") { log.status().term }
    registry.gauge("bluebellramp_control_leader", "1 while this member leads with a majority") { if (log.holdsLeaderLease()) 1 else 0 }
    registry.gauge("bluebellramp_control_role", "0 leader, 1 follower, 2 candidate, 3 learner") { log.status().role.ordinal }
    registry.gauge("bluebellramp_control_commit_index", "Last committed index of the log") { log.status().commitIndex }
    registry.gauge("bluebellramp_control_last_index", "Last index of the log") { log.status().lastIndex }
    registry.gauge("bluebellramp_control_revision", "Accepted revision of the configuration") {
        control.machine.configuration.value.revision.value
    }
    registry.gauge("bluebellramp_control_revision_in_force", "Revision in force, or -1 if unknown here") {
        control.leases.revisionInForce()?.value
            ?: UNKNOWN_REVISION
    }
    registry.gauge("bluebellramp_control_leases", "Entries whose lease may be alive") { control.leases.leaseCount() }
    registry.gauge("bluebellramp_control_claims", "Claims held in memory") { control.claims.claimCount() }
    registry.gauge("bluebellramp_control_claims_whole", "1 while every submission can be judged here") {
        if (control.claims.isComplete()) 1 else 0
    }
}

private const val UNKNOWN_REVISION = -1
