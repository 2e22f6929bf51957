package io.bluebellramp.replication

/** A state machine that records its commands and reports each to [checker]. */
internal class CheckedStateMachine(
    private val checker: HistoryChecker,
) : StateMachine {
    var commands = ArrayList<Pair<Long, String>>()
    var restoreCount = 0

    override fun apply(
        index: Long,
        command: String,
    ): String {
        checker.onApplied(commands.size, index, command)
        commands += index to command
        return command
    }

    override fun snapshot() = commands.joinToString("\n") { "${it.first} ${it.second}" }

    override fun restore(snapshot: String) {
        restoreCount++
        commands = ArrayList()
        snapshot.lines().filter { it.isNotEmpty() }.forEach { apply(it.substringBefore(' ').toLong(), it.substringAfter(' ')) }
    }
}
