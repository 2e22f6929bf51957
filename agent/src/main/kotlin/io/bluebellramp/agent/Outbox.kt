package io.bluebellramp.agent

import io.bluebellramp.messages.AgentFrame

/** Collects the actions of one step, merging the frames for each connection into one. Confined to the coroutine of the core. */
internal class Outbox {
    private val frames = LinkedHashMap<ConnectionId, AgentFrame>()
    private val actions = ArrayList<AgentAction>()

    /** Adds [frame] to the frame to send on [connection]. */
    fun send(
        connection: ConnectionId,
        frame: AgentFrame,
    ) {
        frames.merge(connection, frame) { earlier, later -> earlier.mergedWith(later) }
    }

    /** Adds an action that is not a frame. */
    fun add(action: AgentAction) {
        actions += action
    }

    /** Adds [count] outcomes that will not be delivered, for [reason]. */
    fun addDropped(
        count: Int,
        reason: DropReason,
    ) = repeat(count) { add(AgentAction.CountDroppedOutcome(reason)) }

    /** Returns the collected actions and clears them. */
    fun drain(): List<AgentAction> {
        val sends = frames.map { (connection, frame) -> AgentAction.SendFrame(connection, frame) }
        val all = actions + sends
        frames.clear()
        actions.clear()
        return all
    }
}
