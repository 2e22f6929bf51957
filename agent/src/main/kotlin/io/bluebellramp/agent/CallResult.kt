package io.bluebellramp.agent

/** The result of one call to the target. */
internal sealed interface CallResult {
    /** The target completed the task and returned [text]. */
    data class Done(
        val text: String,
    ) : CallResult

    /** The target reported that the task failed. */
    data class Failed(
        val reason: String,
    ) : CallResult

    /** The call may have reached the target, and its outcome is unknown. */
    data class Unknown(
        val reason: String,
    ) : CallResult

    /** No part of the call was sent, so the target cannot have started the task. */
    data class NotSent(
        val reason: String,
    ) : CallResult
}
