package io.bluebellramp.control

import io.bluebellramp.core.Clock
import io.bluebellramp.messages.ControlSettings
import io.bluebellramp.messages.MemberStatus
import io.bluebellramp.messages.StatusView
import io.bluebellramp.replication.LogStatus
import io.bluebellramp.replication.ReplicatedLog
import io.bluebellramp.replication.Role
import io.bluebellramp.runtime.Health
import kotlin.time.Duration.Companion.milliseconds

/**
 * The components of one control process.
 *
 * @param isFounder see [ClaimTable]
 */
class Control(
    private val settings: ControlSettings,
    val log: ReplicatedLog,
    val machine: ConfigurationStateMachine,
    clock: Clock,
    isFounder: Boolean = false,
) : Health {
    private val leaseDuration = settings.permitLifeMillis.milliseconds

    /** Grants, refuses and copies claims. */
    val claims = ClaimManager(settings.member, log, clock, leaseDuration, isFounder, settings.mostClaims)

    /** Answers lease requests. */
    val leases = LeaseManager(log, machine, clock, leaseDuration) { claims.members() }

    /** Submits configuration changes. */
    val changes = ConfigurationChangeManager(log, machine, leases, clock)

    override fun isReady(): Boolean = log.status().leader != null

    /** Returns the state of the system as this process knows it. */
    fun status(): StatusView {
        val status = log.status()
        return StatusView(
            member = settings.member,
            role = status.role.name.lowercase(),
            term = status.term,
            commitIndex = status.commitIndex,
            revision = machine.configuration.value.revision,
            members = status.memberStatuses(),
            entries = leases.statuses(),
            leader = status.leader,
            revisionInForce = leases.revisionInForce(),
        )
    }

    private fun LogStatus.memberStatuses(): List<MemberStatus> {
        val matches = if (role == Role.LEADER) matchIndexes + (settings.member.value to lastIndex) else matchIndexes
        return membership.voters.map { MemberStatus(it.member, it.address, voting = true, matchIndex = matches[it.member.value]) } +
            membership.learners.map { MemberStatus(it.member, it.address, voting = false, matchIndex = matches[it.member.value]) }
    }
}
