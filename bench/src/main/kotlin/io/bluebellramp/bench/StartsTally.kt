package io.bluebellramp.bench

/** Identifies a task or request across its attempts. */
internal data class StartedTask(
    val submission: String,
    val task: String,
    val kind: String,
)

/** Counts the starts of each task over all attempts. */
internal class StartsTally {
    private val counts = LinkedHashMap<StartedTask, Int>()

    /** Counts the start in [line], which holds submission, task, attempt, kind and time. Returns false if the line is malformed. */
    fun add(line: String): Boolean {
        val fields = line.split(' ')
        if (fields.size != FIELD_COUNT) return false
        val (submission, task, _, kind) = fields
        counts.merge(StartedTask(submission, task, kind), 1, Int::plus)
        return true
    }

    /** Returns the tasks that started more than once with their number of starts. */
    fun repeated(): List<Map.Entry<StartedTask, Int>> = counts.entries.filter { it.value > 1 }

    /** Returns the counts as one line of text. */
    fun summary(): String = "starts: ${counts.size - repeated().size} once, ${repeated().size} twice"

    private companion object {
        const val FIELD_COUNT = 5
    }
}
