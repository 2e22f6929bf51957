package io.bluebellramp.entry

import io.bluebellramp.messages.Answer
import io.bluebellramp.messages.ErrorBody

/** The reply to a caller. */
internal sealed interface Reply {
    /** The answer of the owner. It is final for the submission id. */
    data class Answered(
        val answer: Answer,
    ) : Reply

    /** This entry started nothing and does not own the submission. The same id may be sent again. */
    data class Refused(
        val error: ErrorBody,
    ) : Reply
}
