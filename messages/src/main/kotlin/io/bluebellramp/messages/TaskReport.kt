package io.bluebellramp.messages

import io.bluebellramp.core.JobId
import kotlinx.serialization.Serializable

/** An event of a task at an agent. */
@Serializable
data class TaskReport(
    val job: JobId,
    val step: Int,
    val task: Int,
    val attempt: Int,
    val event: TaskEvent,
    /** Why the task did not start or did not end successfully. */
    val reason: String = "",
    /** Time from the start call to the end of the task (ms). */
    val ranMillis: Long = 0,
)
