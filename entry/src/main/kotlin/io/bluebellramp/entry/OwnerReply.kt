package io.bluebellramp.entry

import io.bluebellramp.messages.Answer

/** The reply of a submission's owner to another entry that asked for the answer. */
internal sealed interface OwnerReply {
    /** The final answer. */
    data class Answered(
        val answer: Answer,
    ) : OwnerReply

    /** That incarnation is running but does not own the submission. */
    data object NotOwner : OwnerReply

    /** The owner did not answer, or has no answer yet. */
    data object NoAnswer : OwnerReply
}
