package io.bluebellramp.entry

import io.bluebellramp.placement.CreditPool
import io.bluebellramp.placement.JobQueue
import io.bluebellramp.placement.Placement
import io.bluebellramp.placement.RunTimeModel
import io.bluebellramp.placement.TeamQuota

/** Makes the queues and the credits of a service. Each service has one pair for tasks and one for requests. */
internal interface PlacementPolicies {
    /** Returns an empty queue. */
    fun queue(
        model: RunTimeModel,
        quota: TeamQuota,
    ): JobQueue

    /** Returns a pool without credits. */
    fun pool(model: RunTimeModel): CreditPool
}

/** The policies that [Placement] chose. */
internal object DefaultPolicies : PlacementPolicies {
    override fun queue(
        model: RunTimeModel,
        quota: TeamQuota,
    ) = Placement.queue(model = model, quota = quota)

    override fun pool(model: RunTimeModel) = Placement.pool(model = model)
}
