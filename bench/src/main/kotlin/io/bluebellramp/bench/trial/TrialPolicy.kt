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

/** A way to place tasks, by the name that the command line gives it. */
internal enum class TrialPolicy(
    val label: String,
    val create: (TrialWorld) -> TrialSystem,
) {
    RANDOM("random", { PushSystem(it, PushChoice.RANDOM, STALE) }),
    TWO_CHOICES("two-choices", { PushSystem(it, PushChoice.TWO_CHOICES, STALE) }),
    LEAST_LOADED("least-loaded", { PushSystem(it, PushChoice.LEAST_LOADED, STALE) }),
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

private val STALE = 100.milliseconds

private fun currentPolicies(
    tuning: TrialTuning,
    grants: GrantPolicy,
) = CreditPolicies(
    queue = { model -> PlacementFactory.queue(model = model, lateFactor = tuning.lateFactor, lateShare = tuning.lateShare) },
    pool = { model -> PlacementFactory.pool(model) },
    grants = { grants },
)
