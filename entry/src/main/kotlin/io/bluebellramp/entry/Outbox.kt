package io.bluebellramp.entry

import io.bluebellramp.messages.Credits
import io.bluebellramp.messages.EntryHello
import io.bluebellramp.messages.PermitRequest
import io.bluebellramp.messages.TaskReference

/** What waits to be sent to one agent. All of it goes into one frame. */
internal class Outbox {
    val dispatches = LinkedHashSet<Attempt>()
    val cancels = ArrayList<TaskReference>()
    val inquiries = ArrayList<TaskReference>()
    var hello: EntryHello? = null
    var permitRequest: PermitRequest? = null
    private var slots = 0
    private var connections = 0

    val isEmpty: Boolean
        get() =
            dispatches.isEmpty() && cancels.isEmpty() && inquiries.isEmpty() && hello == null && permitRequest == null && !hasCredits

    private val hasCredits get() = slots > 0 || connections > 0

    /** Adds credits to give back. */
    fun giveBack(
        slots: Int,
        connections: Int,
    ) {
        this.slots += slots
        this.connections += connections
    }

    /** Takes the credits to give back, or null if there are none. */
    fun takeCredits(): Credits? {
        if (!hasCredits) return null
        val credits = Credits(slots = slots, connections = connections)
        slots = 0
        connections = 0
        return credits
    }

    fun clear() {
        dispatches.clear()
        cancels.clear()
        inquiries.clear()
        hello = null
        permitRequest = null
        takeCredits()
    }
}
