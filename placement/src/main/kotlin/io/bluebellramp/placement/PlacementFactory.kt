package io.bluebellramp.placement

/** Creates the policies that the programs use by default. Other policies are created by their constructors. */
object PlacementFactory {
    /** Creates the job queue of one service in an entry. [model] should be the one passed to the [pool] of the same service. */
    fun queue(
        model: RunTimeModel = RunTimeModel(),
        quota: TeamQuota = TeamQuota.Unlimited,
        lateFactor: Double = FewestTasksLeftQueue.LATE_FACTOR,
        lateShare: Double = FewestTasksLeftQueue.LATE_SHARE,
    ): JobQueue = FewestTasksLeftQueue(idealResponseTime = model, quota = quota, lateFactor = lateFactor, lateShare = lateShare)

    /** Creates the credit pool of one service in an entry. */
    fun pool(
        model: RunTimeModel = RunTimeModel(),
        health: TargetHealth = TargetHealth(),
    ): CreditPool = LeastLoadedPool(model = model, health = health)

    /** Creates the policy by which an agent divides its slots among the entries. */
    fun grantPolicy(): GrantPolicy = FewestTasksLeftGrantPolicy()
}
