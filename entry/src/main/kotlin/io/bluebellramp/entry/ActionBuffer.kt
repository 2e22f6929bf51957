package io.bluebellramp.entry

/** Collects actions until [EntryCoreRunner] executes them. */
internal class ActionBuffer {
    private var actions = ArrayList<Action>()

    operator fun plusAssign(action: Action) {
        actions += action
    }

    /** Returns the actions added since the last call, in order. */
    fun takeAll(): List<Action> {
        if (actions.isEmpty()) return emptyList()
        val taken = actions
        actions = ArrayList()
        return taken
    }
}
