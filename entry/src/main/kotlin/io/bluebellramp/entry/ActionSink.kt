package io.bluebellramp.entry

/** Collects actions until the shell takes them. */
internal class ActionSink {
    private var actions = ArrayList<Action>()

    operator fun plusAssign(action: Action) {
        actions += action
    }

    /** Returns the actions since the last call, in their order. */
    fun take(): List<Action> {
        if (actions.isEmpty()) return emptyList()
        val taken = actions
        actions = ArrayList()
        return taken
    }
}
