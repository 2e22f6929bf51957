package io.bluebellramp.agent

import io.bluebellramp.messages.AgentFrame

/** Collects what one step decides, with one frame for each connection. Confined to the coroutine of the core. */
internal class Outbox {
    private val frames = LinkedHashMap<ConnectionId, AgentFrame>()
    private val actions = ArrayList<AgentAction>()

    /** Adds [frame] to what is sent on [connection]. */
    fun send(
        connection: ConnectionId,
        frame: AgentFrame,
    ) {
        frames.merge(connection, frame) { earlier, later -> earlier.followedBy(later) }
    }

    /** Adds an action that is not a frame. */
    fun add(action: AgentAction) {
        actions += action
    }

    /** Adds [count] outcomes that reach nobody. */
    fun dropped(
        count: Int,
        reason: DropReason,
    ) = repeat(count) { add(AgentAction.Dropped(reason)) }

    /** Returns everything collected and starts anew. */
    fun drain(): List<AgentAction> {
        val sends = frames.map { (connection, frame) -> AgentAction.Send(connection, frame) }
        val all = actions + sends
        frames.clear()
        actions.clear()
        return all
    }
}
