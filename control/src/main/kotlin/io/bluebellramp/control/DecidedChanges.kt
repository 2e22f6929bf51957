package io.bluebellramp.control

import io.bluebellramp.core.ChangeId
import io.bluebellramp.core.Revision
import io.bluebellramp.messages.ChangeOutcome
import io.bluebellramp.messages.ChangeResponse
import io.bluebellramp.messages.ChangeWinner
import kotlinx.serialization.Serializable

/**
 * A change that was accepted or rejected, with its first response.
 *
 * @property digest distinguishes a resent request from a different change with the same id
 */
@Serializable
internal data class DecidedChange(
    val response: ChangeResponse,
    val digest: String,
    val author: String? = null,
)

/** The last [limit] decided changes. A change no longer kept is based on an old revision, so a resend of it cannot apply twice. */
internal class DecidedChanges(
    private val limit: Int,
) {
    private val byId = LinkedHashMap<ChangeId, DecidedChange>()
    private val byRevision = HashMap<Revision, ChangeWinner>()

    /** Returns the change with [id], or null if it is not kept. */
    @Synchronized
    operator fun get(id: ChangeId): DecidedChange? = byId[id]

    /** Returns the change that created [revision], or null if it is not kept. */
    @Synchronized
    fun winner(revision: Revision): ChangeWinner? = byRevision[revision]

    /** Adds [change] and removes the oldest one beyond the limit. */
    @Synchronized
    fun add(change: DecidedChange) {
        byId[change.response.change] = change
        change.winner()?.let { byRevision[it.revision] = it }
        if (byId.size > limit) forgetOldest()
    }

    /** Returns all kept changes, oldest first. */
    @Synchronized
    fun all(): List<DecidedChange> = byId.values.toList()

    /** Replaces all kept changes with [changes]. */
    @Synchronized
    fun replace(changes: List<DecidedChange>) {
        byId.clear()
        byRevision.clear()
        changes.forEach(::add)
    }

    private fun forgetOldest() {
        val oldest = byId.entries.first()
        byId.remove(oldest.key)
        oldest.value.winner()?.let { byRevision.remove(it.revision) }
    }

    private fun DecidedChange.winner(): ChangeWinner? =
        if (response.outcome == ChangeOutcome.ACCEPTED) {
            ChangeWinner(change = response.change, revision = response.revision, author = author)
        } else {
            null
        }
}
