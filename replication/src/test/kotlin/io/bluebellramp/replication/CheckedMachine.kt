package io.bluebellramp.replication

/** A state machine that reports each command to [checker]. */
internal class CheckedMachine(
    private val checker: HistoryChecker,
) : StateMachine {
    var commands = ArrayList<Pair<Long, String>>()
    var restores = 0

    override fun apply(
        index: Long,
        command: String,
    ): String {
        checker.applied(commands.size, index, command)
        commands += index to command
        return command
    }

    override fun snapshot() = commands.joinToString("\n") { "${it.first} ${it.second}" }

    override fun restore(snapshot: String) {
        restores++
        commands = ArrayList()
        snapshot.lines().filter { it.isNotEmpty() }.forEach { apply(it.substringBefore(' ').toLong(), it.substringAfter(' ')) }
    }
}
