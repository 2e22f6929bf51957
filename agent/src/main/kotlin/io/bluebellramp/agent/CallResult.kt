package io.bluebellramp.agent

/** What came of one call to the target. */
internal sealed interface CallResult {
    /** The target answered the call with [text]. */
    data class Done(
        val text: String,
    ) : CallResult

    /** The target ran the task and failed it. */
    data class Failed(
        val reason: String,
    ) : CallResult

    /** The call may have reached the target, and its outcome cannot be told. */
    data class Unknown(
        val reason: String,
    ) : CallResult

    /** Nothing of the call was written: the target cannot have started the task. */
    data class NotSent(
        val reason: String,
    ) : CallResult
}
