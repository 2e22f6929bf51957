package io.bluebellramp.entry

import io.bluebellramp.messages.Answer
import io.bluebellramp.messages.PendingBody

/**
 * What the other entries know of a submission id.
 *
 * @property rank if the entries reply differently, the result with the highest rank counts
 */
internal sealed class PeerSearchResult(
    val rank: Int,
) {
    /** Each live entry says that it does not know the id. */
    data object Unknown : PeerSearchResult(rank = 0)

    /** An entry did not answer, so it may know the id. */
    data object Uncertain : PeerSearchResult(rank = 1)

    /** An entry knows the id. */
    data object Found : PeerSearchResult(rank = 2)

    /** Its owner has no answer yet. */
    data class Pending(
        val body: PendingBody,
    ) : PeerSearchResult(rank = 3)

    /** Its final answer. */
    data class Answered(
        val answer: Answer,
    ) : PeerSearchResult(rank = 4)
}
