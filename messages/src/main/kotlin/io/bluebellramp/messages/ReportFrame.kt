package io.bluebellramp.messages

import io.bluebellramp.core.JobId
import kotlinx.serialization.Serializable

/** A frame from an agent to an entry. An empty frame keeps the connection alive and confirms the last capacity report. */
@Serializable
data class ReportFrame(
    val hello: ProcessHello? = null,
    val room: RoomReport? = null,
    val outcomes: List<TaskReport> = emptyList(),
    /** Jobs that were cancelled at another entry. They apply before the outcomes. */
    val cancels: List<JobId> = emptyList(),
)
