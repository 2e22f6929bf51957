package io.bluebellramp.messages

import io.bluebellramp.core.JobId
import io.bluebellramp.core.ServiceId
import kotlinx.serialization.Serializable

/** Tasks of one step of a job for one agent. */
@Serializable
data class StepDispatch(
    val job: JobId,
    val step: Int,
    /** Indexes of the tasks in the step. */
    val tasks: List<Int>,
    /** Number of the attempt. The first is 1. */
    val attempt: Int,
    /** Name of the queue to which the job was submitted. */
    val queue: String,
    val service: ServiceId,
    /** CPU that each task needs (thousandths of a core). */
    val milliCpu: Int,
    /** Memory that each task needs (MB). */
    val memoryMb: Int,
    /** What the target runs. */
    val spec: String,
    /** Time after which tasks that have not started are returned to the entry (ms). */
    val startWithinMillis: Long,
    /** The caller's estimate of the run time (ms). */
    val estimateMillis: Long = 0,
    /** Priority of the queue. */
    val priority: Int = 0,
    /** Time until the latest start at which the job still ends in time (ms). It is negative once the job is late. The tasks of a queue are ordered by it. */
    val dueWithinMillis: Long = 0,
)
