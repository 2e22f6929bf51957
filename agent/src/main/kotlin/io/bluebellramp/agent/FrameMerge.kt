package io.bluebellramp.agent

import io.bluebellramp.messages.AgentFrame
import io.bluebellramp.messages.Credits

/** Returns one frame with the content of this frame followed by that of [later]. */
internal fun AgentFrame.mergedWith(later: AgentFrame): AgentFrame =
    AgentFrame(
        hello = hello ?: later.hello,
        target = later.target ?: target,
        permitRequest = later.permitRequest ?: permitRequest,
        credits = credits plus later.credits,
        recalled = recalled plus later.recalled,
        outcomes = outcomes + later.outcomes,
        leaving = leaving || later.leaving,
    )

private infix fun Credits?.plus(later: Credits?): Credits? =
    when {
        this == null -> later
        later == null -> this
        else -> Credits(slots = slots + later.slots, connections = connections + later.connections)
    }
