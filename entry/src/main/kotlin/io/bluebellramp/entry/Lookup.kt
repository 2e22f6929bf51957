package io.bluebellramp.entry

import io.bluebellramp.messages.Answer

/** What an entry knows of a submission id. */
internal sealed interface Lookup {
    /** It has its final answer. */
    data class Answered(
        val answer: Answer,
    ) : Lookup

    /** It has no answer yet. When [isFollowing], another entry owns it. */
    data class Pending(
        val isFollowing: Boolean,
    ) : Lookup

    /** Its owner is given up for dead; [answer] is what other entries may say of it. */
    data class Lost(
        val answer: Answer,
    ) : Lookup

    /** This entry has not seen it. */
    data object Unknown : Lookup
}
