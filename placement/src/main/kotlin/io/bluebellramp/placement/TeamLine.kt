package io.bluebellramp.placement

import io.bluebellramp.core.TeamId
import java.util.TreeSet

/** The waiting jobs of one team, in the order of their turn and in the order of their lateness. */
internal class TeamLine(
    val team: TeamId?,
    order: Comparator<JobState>,
) {
    private val jobs = TreeSet(order)
    private val late = TreeSet(JobState.byLateness)

    /** Tasks that wait. */
    var waiting = 0
        private set

    /** Tasks that have been taken and have not ended. */
    var running = 0
        private set

    /** The job whose turn it is, or null if none waits. */
    fun first(): JobState? = if (jobs.isEmpty()) null else jobs.first()

    /** The job that has been late for longest or will be late soonest, or null if none waits. */
    fun latest(): JobState? = if (late.isEmpty()) null else late.first()

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

    fun giveBack(
        state: JobState,
        task: Int,
    ) {
        state.waiting.addFirst(task)
        index(state)
        waiting++
        running--
    }

    fun ended(state: JobState) {
        unindex(state)
        state.left--
        if (state.waiting.isNotEmpty()) index(state)
        running--
    }

    fun remove(state: JobState) {
        unindex(state)
        waiting -= state.waiting.size
    }

    /** Waiting jobs, in no order. */
    fun all(): Collection<JobState> = jobs

    private fun index(state: JobState) {
        jobs += state
        late += state
    }

    private fun unindex(state: JobState) {
        jobs -= state
        late -= state
    }
}
