package io.bluebellramp.control

import io.bluebellramp.core.ChangeId
import io.bluebellramp.core.Revision
import io.bluebellramp.messages.ChangeOutcome
import io.bluebellramp.messages.ChangeResponse
import io.bluebellramp.messages.ChangeWinner
import kotlinx.serialization.Serializable

/**
 * A change that was decided, with its first answer.
 *
 * @property digest tells a resend from another change under the same id
 */
@Serializable
internal data class RememberedChange(
    val response: ChangeResponse,
    val digest: String,
    val author: String? = null,
)

/** The last [limit] decided changes. A resend of a forgotten change is based on an old revision, so it cannot apply twice. */
internal class RememberedChanges(
    private val limit: Int,
) {
    private val byId = LinkedHashMap<ChangeId, RememberedChange>()
    private val byRevision = HashMap<Revision, ChangeWinner>()

    /** Returns the change with [id] if it is remembered. */
    @Synchronized
    operator fun get(id: ChangeId): RememberedChange? = byId[id]

    /** Returns the change that made [revision] if it is remembered. */
    @Synchronized
    fun winner(revision: Revision): ChangeWinner? = byRevision[revision]

    /** Remembers [change] and forgets the oldest one beyond the limit. */
    @Synchronized
    fun add(change: RememberedChange) {
        byId[change.response.change] = change
        change.winner()?.let { byRevision[it.revision] = it }
        if (byId.size > limit) forgetOldest()
    }

    /** Returns all remembered changes, oldest first. */
    @Synchronized
    fun all(): List<RememberedChange> = byId.values.toList()

    /** Replaces all remembered changes by [changes]. */
    @Synchronized
    fun replace(changes: List<RememberedChange>) {
        byId.clear()
        byRevision.clear()
        changes.forEach(::add)
    }

    private fun forgetOldest() {
        val oldest = byId.entries.first()
        byId.remove(oldest.key)
        oldest.value.winner()?.let { byRevision.remove(it.revision) }
    }

    private fun RememberedChange.winner(): ChangeWinner? =
        if (response.outcome == ChangeOutcome.ACCEPTED) {
            ChangeWinner(change = response.change, revision = response.revision, author = author)
        } else {
            null
        }
}
