package io.bluebellramp.placement

/** Makes the policies that the programs use. Baselines are made by their own constructors. */
object Placement {
    /** Returns the queue of one service in an entry. Pass the [model] that the [pool] of the same service has. */
    fun queue(
        model: RunTimeModel = RunTimeModel(),
        quota: TeamQuota = TeamQuota.Unlimited,
        lateFactor: Double = FewestLeftQueue.LATE_FACTOR,
        lateShare: Double = FewestLeftQueue.LATE_SHARE,
    ): JobQueue = FewestLeftQueue(ideal = model, quota = quota, lateFactor = lateFactor, lateShare = lateShare)

    /** Returns the credits of one service in an entry. */
    fun pool(
        model: RunTimeModel = RunTimeModel(),
        health: TargetHealth = TargetHealth(),
    ): CreditPool = SpreadingPool(model = model, health = health)

    /** Returns the policy by which an agent shares its slots between the entries. */
    fun grants(): GrantPolicy = BestJobGrantPolicy()
}
