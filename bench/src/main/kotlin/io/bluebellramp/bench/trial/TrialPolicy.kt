package io.bluebellramp.bench.trial

import io.bluebellramp.placement.BestJobGrantPolicy
import io.bluebellramp.placement.DemandGrantPolicy
import io.bluebellramp.placement.FairShareQueue
import io.bluebellramp.placement.FewestLeftQueue
import io.bluebellramp.placement.FirstComeQueue
import io.bluebellramp.placement.GrantPolicy
import io.bluebellramp.placement.LeastRunningPool
import io.bluebellramp.placement.Placement
import kotlin.time.Duration.Companion.milliseconds

/** A way to place tasks, by the name that the command line gives it. */
internal enum class TrialPolicy(
    val label: String,
    val create: (TrialWorld) -> TrialSystem,
) {
    RANDOM("random", { PushSystem(it, PushChoice.RANDOM, STALE) }),
    TWO_CHOICES("two-choices", { PushSystem(it, PushChoice.TWO_CHOICES, STALE) }),
    LEAST_LOADED("least-loaded", { PushSystem(it, PushChoice.LEAST_LOADED, STALE) }),
    FIRST_COME("first-come", { CreditSystem(it, CreditPolicies({ FirstComeQueue() }, { LeastRunningPool() }, { DemandGrantPolicy() })) }),
    FAIR_SHARE("fair-share", { CreditSystem(it, CreditPolicies({ FairShareQueue() }, { LeastRunningPool() }, { DemandGrantPolicy() })) }),
    EARLIER("earlier", { CreditSystem(it, CreditPolicies({ FewestLeftQueue() }, { LeastRunningPool() }, { DemandGrantPolicy() })) }),
    ON_DEMAND("on-demand", { CreditSystem(it, currentPolicies(it.settings.tuning, BestJobGrantPolicy(standing = false))) }),
    CURRENT("current", { CreditSystem(it, currentPolicies(it.settings.tuning, Placement.grants())) }),
}

private val STALE = 100.milliseconds

private fun currentPolicies(
    tuning: TrialTuning,
    grants: GrantPolicy,
) = CreditPolicies(
    queue = { model -> Placement.queue(model = model, lateFactor = tuning.lateFactor, lateShare = tuning.lateShare) },
    pool = { model -> Placement.pool(model) },
    grants = { grants },
)
