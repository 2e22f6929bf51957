package io.bluebellramp.jobs

/** The highest run number of each task, so that run numbers rise. Keeps the [MAX_TASKS] most recently used tasks. */
internal class RunNumbers {
    private val numbers =
        object : LinkedHashMap<TaskKey, Int>(16, 0.75f, true) {
            override fun removeEldestEntry(eldest: Map.Entry<TaskKey, Int>) = size > MAX_TASKS
        }

    /** Returns the number for the next run of [task], which is at least [min]. */
    fun next(
        task: TaskKey,
        min: Int,
    ): Int {
        val next = maxOf(min, numbers.getOrDefault(task, 0) + 1)
        numbers[task] = next
        return next
    }

    /** Records that [run] was seen at the target. */
    fun observe(run: RunKey) {
        numbers[run.task] = maxOf(run.number, numbers.getOrDefault(run.task, 0))
    }

    /** Raises the number of [task] after the target refused it as too low. The step doubles with each of [tries]. */
    fun skip(
        task: TaskKey,
        tries: Int,
    ) {
        numbers[task] = numbers.getOrDefault(task, 0) + (1 shl tries)
    }

    fun clear() = numbers.clear()

    private companion object {
        /** Callers resubmit a job within seconds, and a target ends some hundred tasks per second. */
        const val MAX_TASKS = 10_000
    }
}
