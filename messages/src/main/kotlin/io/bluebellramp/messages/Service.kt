package io.bluebellramp.messages

import kotlinx.serialization.Serializable

/** A service and the limits for each of its executors. */
@Serializable
data class Service(
    /** Maximum number of tasks that an executor runs at the same time. */
    val slots: Int = 8,
    /** Maximum number of requests that an executor serves at the same time. */
    val connections: Int = 64,
    /** Maximum number of tasks in one job. */
    val jobTasks: Int = 1800,
    /** Maximum run time of one task (ms). */
    val taskMillis: Long = 30000,
    /** Default deadline of a submission (ms). */
    val deadlineMillis: Long = 120000,
    /** Memory of an executor (MB). A task that declares more can never run. */
    val memoryMegabytes: Int = 131072,
    /** Maximum number of retries of idempotent requests as a fraction of all requests. */
    val retryShare: Double = 0.1,
    /** Maximum number of hedged idempotent requests as a fraction of all requests. */
    val hedgeShare: Double = 0.0,
)
