package io.bluebellramp.placement

import io.bluebellramp.core.TeamId
import java.util.TreeSet

/** The waiting jobs of one team, sorted both in the order of the queue and by when they become late. */
internal class TeamBacklog(
    val team: TeamId?,
    order: Comparator<JobState>,
) {
    private val jobs = TreeSet(order)
    private val byLateness = TreeSet(JobState.byLateness)

    /** Number of waiting tasks. */
    var waiting = 0
        private set

    /** Number of tasks that were taken and have not ended. */
    var running = 0
        private set

    /** Returns the first job in the order of the queue, or null if none waits. */
    fun first(): JobState? = if (jobs.isEmpty()) null else jobs.first()

    /** Returns the job that became late first or will become late first, or null if none waits. */
    fun firstLate(): JobState? = if (byLateness.isEmpty()) null else byLateness.first()

    fun add(state: JobState) {
        index(state)
        waiting += state.waiting.size
    }

    fun take(state: JobState): Int {
        val task = state.waiting.removeFirst()
        state.running += task
        if (state.waiting.isEmpty()) unindex(state)
        waiting--
        running++
        return task
    }

    fun requeue(
        state: JobState,
        task: Int,
    ) {
        state.waiting.addFirst(task)
        index(state)
        waiting++
        running--
    }

    fun taskEnded(state: JobState) {
        unindex(state)
        state.tasksLeft--
        if (state.waiting.isNotEmpty()) index(state)
        running--
    }

    fun remove(state: JobState) {
        unindex(state)
        waiting -= state.waiting.size
    }

    /** Returns the jobs with waiting tasks. */
    fun jobs(): Collection<JobState> = jobs

    private fun index(state: JobState) {
        jobs += state
        byLateness += state
    }

    private fun unindex(state: JobState) {
        jobs -= state
        byLateness -= state
    }
}
