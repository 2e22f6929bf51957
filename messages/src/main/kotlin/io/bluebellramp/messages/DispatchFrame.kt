package io.bluebellramp.messages

import io.bluebellramp.core.JobId
import kotlinx.serialization.Serializable

/** A frame from an entry to an agent. Stops and cancels apply before the dispatches. An empty frame keeps the connection alive. */
@Serializable
data class DispatchFrame(
    val hello: ProcessHello? = null,
    val dispatches: List<StepDispatch> = emptyList(),
    /** Jobs whose tasks must be stopped immediately. */
    val stops: List<JobId> = emptyList(),
    /** Jobs to cancel regardless of which entry owns them. */
    val cancels: List<JobId> = emptyList(),
    /** Number of frames received from the agent on this connection; 0 if the entry does not count them. */
    val received: Long = 0,
)
