package io.bluebellramp.entry

import io.bluebellramp.placement.CreditPool
import io.bluebellramp.placement.FirstComeQueue
import io.bluebellramp.placement.JobQueue
import io.bluebellramp.placement.LeastRunningPool

/** Makes the queue and the credits of a service. Each service has one pair for tasks and one for requests. */
internal interface PlacementPolicies {
    /** Returns an empty queue. */
    fun queue(): JobQueue

    /** Returns a pool without credits. */
    fun pool(): CreditPool
}

/** First come, first served, on the target with the fewest tasks of this entry. */
internal object BaselinePolicies : PlacementPolicies {
    override fun queue() = FirstComeQueue()

    override fun pool() = LeastRunningPool()
}
