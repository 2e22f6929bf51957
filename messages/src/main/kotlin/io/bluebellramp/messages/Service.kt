package io.bluebellramp.messages

import kotlinx.serialization.Serializable

/** A service and the limits of each of its executors. */
@Serializable
data class Service(
    /** Tasks that an executor runs at once. */
    val slots: Int = 8,
    /** Requests that an executor serves at once. */
    val connections: Int = 64,
    /** Most tasks of one job. */
    val jobTasks: Int = 1800,
    /** Longest run time of one task (ms). */
    val taskMillis: Long = 30000,
    /** Deadline of a submission that names none (ms). */
    val deadlineMillis: Long = 120000,
    /** Memory of an executor. A task that declares more can never run. */
    val memoryMegabytes: Int = 131072,
    /** Retries of idempotent requests as a share of the requests. */
    val retryShare: Double = 0.1,
    /** Hedged idempotent requests as a share of the requests. */
    val hedgeShare: Double = 0.0,
)
