package io.bluebellramp.agent

import io.bluebellramp.messages.TaskReference
import io.bluebellramp.placement.QueueDemand

/** State of one connection to an entry, discarded when it closes. No I/O; confined to the coroutine of the core. */
internal class EntryConnection(
    val id: ConnectionId,
) {
    private val unacknowledged = ArrayDeque<TaskReference?>()
    private var acknowledgedCount = 0L

    /** The entry at the other end, or null before its hello. */
    var peer: EntryIncarnation? = null

    /** Whether this is the newest connection of its entry. Older ones get no credits. */
    var isNewest = false

    /** Tasks queued at the entry, as last reported. */
    var demand = QueueDemand(tasks = 0, tasksLeft = 0)

    /** Requests that were dispatched on this connection and have not ended. */
    var openRequests = 0

    /** Credits for tasks. */
    val taskCredits = CreditAccount()

    /** Credits for requests. */
    val requestCredits = CreditAccount()

    /** Records that an outcome was sent. [isFinal] is false if it only reports that the attempt is running. */
    fun recordSent(
        reference: TaskReference,
        isFinal: Boolean,
    ) {
        unacknowledged.addLast(reference.takeIf { isFinal })
        if (unacknowledged.size <= MAX_UNACKNOWLEDGED) return
        unacknowledged.removeFirst()
        acknowledgedCount++
    }

    /** Takes the number of outcomes that the entry has received so far and returns the attempts newly acknowledged by it. */
    fun acknowledge(count: Long): List<TaskReference> {
        val acknowledged = ArrayList<TaskReference>()
        while (acknowledgedCount < count && unacknowledged.isNotEmpty()) {
            unacknowledged.removeFirst()?.let { acknowledged += it }
            acknowledgedCount++
        }
        return acknowledged
    }

    private companion object {
        const val MAX_UNACKNOWLEDGED = 16_384
    }
}
