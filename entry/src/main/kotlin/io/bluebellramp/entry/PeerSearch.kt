package io.bluebellramp.entry

import io.bluebellramp.messages.Answer
import io.bluebellramp.messages.PendingBody

/**
 * What the other entries know of a submission id.
 *
 * @property rank of several results the one with the greatest rank counts
 */
internal sealed class PeerSearch(
    val rank: Int,
) {
    /** Each live entry says that it does not know the id. */
    data object Unknown : PeerSearch(rank = 0)

    /** An entry did not answer, so it is not certain that none knows the id. */
    data object Unclear : PeerSearch(rank = 1)

    /** An entry knows the id. */
    data object Found : PeerSearch(rank = 2)

    /** Its owner has no answer yet. */
    data class Pending(
        val body: PendingBody,
    ) : PeerSearch(rank = 3)

    /** Its final answer. */
    data class Answered(
        val answer: Answer,
    ) : PeerSearch(rank = 4)
}
