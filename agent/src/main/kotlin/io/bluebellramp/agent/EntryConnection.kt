package io.bluebellramp.agent

import io.bluebellramp.messages.TaskReference
import io.bluebellramp.placement.QueueDemand

/** What the agent knows of one connection. It ends with the connection. No I/O; confined to the coroutine of the core. */
internal class EntryConnection(
    val id: ConnectionId,
) {
    private val sent = ArrayDeque<TaskReference?>()
    private var received = 0L

    /** The entry at the other end, once it said so. */
    var run: EntryRun? = null

    /** Whether it is the newest connection of its entry. An older one gets no credits. */
    var isNewest = false

    /** Tasks that wait at the entry, as last reported. */
    var demand = QueueDemand(tasks = 0, tasksLeft = 0)

    /** Requests that came on this connection and have not ended. */
    var openRequests = 0

    /** Credits for tasks. */
    val slots = CreditAccount()

    /** Credits for requests. */
    val connections = CreditAccount()

    /** Notes that an outcome was sent; [isFinal] unless it says that the attempt is running. */
    fun sent(
        reference: TaskReference,
        isFinal: Boolean,
    ) {
        sent.addLast(reference.takeIf { isFinal })
        if (sent.size <= SENT_KEPT) return
        sent.removeFirst()
        received++
    }

    /** Takes the count of outcomes that the entry has received and returns the attempts that are new in it. */
    fun received(count: Long): List<TaskReference> {
        val fresh = ArrayList<TaskReference>()
        while (received < count && sent.isNotEmpty()) {
            sent.removeFirst()?.let { fresh += it }
            received++
        }
        return fresh
    }

    private companion object {
        const val SENT_KEPT = 16_384
    }
}
