package io.bluebellramp.entry

import io.bluebellramp.messages.Answer

/** What the owner of a submission said to another entry. */
internal sealed interface FollowResult {
    /** The final answer. */
    data class Answered(
        val answer: Answer,
    ) : FollowResult

    /** That incarnation is there and does not own the submission. */
    data object NotOwner : FollowResult

    /** The owner did not answer, or has no answer yet. */
    data object NoAnswer : FollowResult
}
