package io.bluebellramp.entry

import io.bluebellramp.placement.CreditPool
import io.bluebellramp.placement.JobQueue
import io.bluebellramp.placement.PlacementFactory
import io.bluebellramp.placement.RunTimeModel
import io.bluebellramp.placement.TeamQuota

/** Creates the job queue and the credit pool of each [DispatchQueue]. */
internal interface PlacementPolicies {
    /** Creates an empty queue. */
    fun queue(
        model: RunTimeModel,
        quota: TeamQuota,
    ): JobQueue

    /** Creates a pool without credits. */
    fun pool(model: RunTimeModel): CreditPool
}

/** The default policies of [PlacementFactory]. */
internal object DefaultPlacementPolicies : PlacementPolicies {
    override fun queue(
        model: RunTimeModel,
        quota: TeamQuota,
    ) = PlacementFactory.queue(model = model, quota = quota)

    override fun pool(model: RunTimeModel) = PlacementFactory.pool(model = model)
}
