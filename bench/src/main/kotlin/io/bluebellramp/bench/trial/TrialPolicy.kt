package io.bluebellramp.bench.trial

import io.bluebellramp.placement.FairShareQueue
import io.bluebellramp.placement.FewestTasksLeftGrantPolicy
import io.bluebellramp.placement.FewestTasksLeftQueue
import io.bluebellramp.placement.FirstComeFirstServedQueue
import io.bluebellramp.placement.GrantPolicy
import io.bluebellramp.placement.LeastRunningPool
import io.bluebellramp.placement.PlacementFactory
import io.bluebellramp.placement.RoundRobinGrantPolicy
import kotlin.time.Duration.Companion.milliseconds

/** Placement policies to compare. [label] is the name on the command line and in reports. */
internal enum class TrialPolicy(
    val label: String,
    val create: (TrialContext) -> TrialSystem,
) {
    RANDOM("random", { PushSystem(it, ExecutorChoice.RANDOM, STALE) }),
    TWO_CHOICES("two-choices", { PushSystem(it, ExecutorChoice.TWO_CHOICES, STALE) }),
    LEAST_LOADED("least-loaded", { PushSystem(it, ExecutorChoice.LEAST_LOADED, STALE) }),
    FIRST_COME("first-come", {
        CreditSystem(it, CreditPolicies({ FirstComeFirstServedQueue() }, { LeastRunningPool() }, { RoundRobinGrantPolicy() }))
    }),
    FAIR_SHARE(
        "fair-share",
        { CreditSystem(it, CreditPolicies({ FairShareQueue() }, { LeastRunningPool() }, { RoundRobinGrantPolicy() })) },
    ),
    EARLIER(
        "earlier",
        { CreditSystem(it, CreditPolicies({ FewestTasksLeftQueue() }, { LeastRunningPool() }, { RoundRobinGrantPolicy() })) },
    ),
    ON_DEMAND("on-demand", { CreditSystem(it, currentPolicies(it.settings.tuning, FewestTasksLeftGrantPolicy(grantsAhead = false))) }),
    CURRENT("current", { CreditSystem(it, currentPolicies(it.settings.tuning, PlacementFactory.grantPolicy())) }),
}

/** Interval between load reports of the executors. */
private val STALE = 100.milliseconds

private fun currentPolicies(
    tuning: TrialTuning,
    grants: GrantPolicy,
) = CreditPolicies(
    queue = { model -> PlacementFactory.queue(model = model, lateFactor = tuning.lateFactor, lateShare = tuning.lateShare) },
    pool = { model -> PlacementFactory.pool(model) },
    grants = { grants },
)
