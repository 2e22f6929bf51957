package io.bluebellramp.messages

import io.bluebellramp.core.JobId
import kotlinx.serialization.Serializable

/** A frame from an entry to an agent. An empty one keeps the link alive. */
@Serializable
data class DispatchFrame(
    val hello: ProcessHello? = null,
    val dispatches: List<StepDispatch> = emptyList(),
    /** Jobs whose tasks end at once. */
    val stops: List<JobId> = emptyList(),
    /** Jobs that are cancelled whichever entry owns them. */
    val cancels: List<JobId> = emptyList(),
)
