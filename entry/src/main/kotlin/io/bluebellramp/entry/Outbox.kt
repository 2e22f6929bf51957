package io.bluebellramp.entry

import io.bluebellramp.messages.Credits
import io.bluebellramp.messages.EntryHello
import io.bluebellramp.messages.PermitRequest
import io.bluebellramp.messages.TaskReference

/** Data pending for one agent. All of it is sent in the next frame. */
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

    /** Adds credits to return. */
    fun returnCredits(
        slots: Int,
        connections: Int,
    ) {
        this.slots += slots
        this.connections += connections
    }

    /** Removes and returns the credits to return to the agent, or null if there are none. */
    fun takeReturnedCredits(): Credits? {
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
        takeReturnedCredits()
    }
}
