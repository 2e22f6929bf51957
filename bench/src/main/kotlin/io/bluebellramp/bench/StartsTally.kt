package io.bluebellramp.bench

/** A task or request that started. */
internal data class StartedTask(
    val submission: String,
    val task: String,
    val kind: String,
)

/** Counts the starts of each task, whatever the attempt. */
internal class StartsTally {
    private val counts = LinkedHashMap<StartedTask, Int>()

    /** Counts the start that [line] tells: submission, task, attempt, kind and time. Returns false if it is no such line. */
    fun add(line: String): Boolean {
        val fields = line.split(' ')
        if (fields.size != FIELDS) return false
        val (submission, task, _, kind) = fields
        counts.merge(StartedTask(submission, task, kind), 1, Int::plus)
        return true
    }

    /** Tasks that started more than once, with the number of their starts. */
    fun repeated(): List<Map.Entry<StartedTask, Int>> = counts.entries.filter { it.value > 1 }

    /** The count in one line. */
    fun wording(): String = "starts: ${counts.size - repeated().size} once, ${repeated().size} twice"

    private companion object {
        const val FIELDS = 5
    }
}
