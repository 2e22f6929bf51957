package io.bluebellramp.jobs

import io.bluebellramp.core.JobId
import io.bluebellramp.messages.StepDispatch

/** Identifies one connection between an entry and an agent. Each new connection gets a new id. */
@JvmInline
value class LinkId(
    val value: Long,
) {
    override fun toString() = value.toString()
}

/** The outputs of a [JobScheduler]. */
interface JobOutputs {
    /** Sends tasks to the agent at [link]. */
    fun dispatch(
        link: LinkId,
        dispatch: StepDispatch,
    )

    /** Tells the agent at [link] to stop all tasks of [job]. */
    fun stop(
        link: LinkId,
        job: JobId,
    )

    /** Logs [decision]. */
    fun onDecision(decision: JobDecision)
}

/**
 * A decision about a job, to be logged.
 *
 * @property details the inputs of the decision with their ages; the keys are fields of the log line
 */
class JobDecision(
    val kind: String,
    val job: JobId,
    val details: Map<String, Any>,
) {
    companion object {
        /** Stands for the job where a decision is about none. */
        val NO_JOB = JobId("")
    }
}
