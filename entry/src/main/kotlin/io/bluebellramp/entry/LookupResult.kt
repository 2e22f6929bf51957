package io.bluebellramp.entry

import io.bluebellramp.messages.Answer

/** What an entry knows of a submission id. */
internal sealed interface LookupResult {
    /** It has its final answer. */
    data class Answered(
        val answer: Answer,
    ) : LookupResult

    /** It has no answer yet. If [isRemote], another entry owns it. */
    data class Pending(
        val isRemote: Boolean,
    ) : LookupResult

    /** Its owner is considered dead. [answer] is what other entries may reply. */
    data class Lost(
        val answer: Answer,
    ) : LookupResult

    /** This entry does not know the id. */
    data object Unknown : LookupResult
}
