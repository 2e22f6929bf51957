package io.bluebellramp.jobs

import io.bluebellramp.core.JobId
import io.bluebellramp.messages.StepDispatch

/** Names one connection between an entry and an agent. A new connection has a new id. */
@JvmInline
value class LinkId(
    val value: Long,
) {
    override fun toString() = value.toString()
}

/** What a [JobDesk] does to the world. */
interface JobOutputs {
    /** Sends tasks to the agent at [link]. */
    fun dispatch(
        link: LinkId,
        dispatch: StepDispatch,
    )

    /** Tells the agent at [link] to end all tasks of [job]. */
    fun stop(
        link: LinkId,
        job: JobId,
    )

    /** Takes note of a decision. */
    fun decided(decision: JobDecision)
}

/**
 * A decision on a job, for the log.
 *
 * @property details the inputs that decided it, with their age
 */
class JobDecision(
    val kind: String,
    val job: JobId,
    val details: Map<String, Any>,
)
