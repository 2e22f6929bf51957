package io.bluebellramp.jobs

/** Highest run number by task, so that numbers rise. Forgets the oldest tasks beyond a bound. */
internal class LastNumbers {
    private val numbers =
        object : LinkedHashMap<TaskKey, Int>(16, 0.75f, true) {
            override fun removeEldestEntry(eldest: Map.Entry<TaskKey, Int>) = size > MOST
        }

    /** Returns the number for the next run of [task], [least] or more. */
    fun next(
        task: TaskKey,
        least: Int,
    ): Int {
        val next = maxOf(least, numbers.getOrDefault(task, 0) + 1)
        numbers[task] = next
        return next
    }

    /** A run was seen at the target. */
    fun saw(run: RunKey) {
        numbers[run.task] = maxOf(run.number, numbers.getOrDefault(run.task, 0))
    }

    /** The last number was too low; the next ones go up in steps that grow with [tries]. */
    fun skip(
        task: TaskKey,
        tries: Int,
    ) {
        numbers[task] = numbers.getOrDefault(task, 0) + (1 shl tries)
    }

    fun clear() = numbers.clear()

    private companion object {
        /** A job is sent again seconds after its first try, and a target ends some hundred tasks a second. */
        const val MOST = 10_000
    }
}
