package io.bluebellramp.messages

import io.bluebellramp.core.JobId
import kotlinx.serialization.Serializable

/** What became of a task at an agent. */
@Serializable
data class TaskReport(
    val job: JobId,
    val step: Int,
    val task: Int,
    val attempt: Int,
    val event: TaskEvent,
    /** Why it did not start or did not end well. */
    val reason: String = "",
    /** Time from the start order to the end (ms). */
    val ranMillis: Long = 0,
)
