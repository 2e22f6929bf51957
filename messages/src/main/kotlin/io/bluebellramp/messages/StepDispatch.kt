package io.bluebellramp.messages

import io.bluebellramp.core.JobId
import io.bluebellramp.core.ServiceId
import kotlinx.serialization.Serializable

/** Tasks of one step of a job for one agent. */
@Serializable
data class StepDispatch(
    val job: JobId,
    val step: Int,
    /** Indexes of the tasks in their step. */
    val tasks: List<Int>,
    /** Number of the attempt from 1. */
    val attempt: Int,
    /** Name of the queue that the job came by. */
    val queue: String,
    val service: ServiceId,
    /** Processor need of each task (thousandths of a core). */
    val milliCpu: Int,
    /** Memory need of each task (MB). */
    val memoryMb: Int,
    /** What the target runs. */
    val spec: String,
    /** Time after which the tasks that have not started are given back (ms). */
    val startWithinMillis: Long,
    /** The caller's estimate of the run time (ms). */
    val estimateMillis: Long = 0,
    /** Priority of the queue. */
    val priority: Int = 0,
    /** Time until the latest start with which the job ends in time (ms); below 0 once it is late. Orders the tasks of a queue. */
    val dueWithinMillis: Long = 0,
)
