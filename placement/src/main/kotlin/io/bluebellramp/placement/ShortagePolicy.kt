package io.bluebellramp.placement

import kotlin.time.Duration

/**
 * A job of an entry with tasks that wait to be placed.
 *
 * @property priority priority of its queue, 0 is the highest
 * @property slack time left until the latest start that meets its objective
 * @property cpuMicros estimated processor time of its tasks that are not placed (core-microseconds)
 * @property hasStarted whether one of its tasks started or may have started
 * @property isHeld whether none of its tasks is at an agent
 */
data class WaitingJob<J>(
    val job: J,
    val priority: Int,
    val slack: Duration,
    val cpuMicros: Long,
    val hasStarted: Boolean,
    val isHeld: Boolean,
)

/**
 * Decides which jobs are delayed or turned away while there is too little room for jobs of several priorities.
 *
 * It answers bursts of long tasks of a low priority that coincide with bursts of short urgent ones. What a delay costs a caller is judged
 * by the priority of its queue, then by the slack of its job, then by the work that has to be done to serve it. While all jobs have the
 * same priority, nothing is reordered and no held job is turned away early.
 */
class ShortagePolicy {
    private val load = PriorityLoad()

    /** Records that a job of [priority] with [cpuMicros] of work (core-microseconds) was admitted. */
    fun admitted(
        priority: Int,
        cpuMicros: Long,
        now: Duration,
    ) = load.add(priority, cpuMicros, now)

    /** Returns whether jobs of several priorities were admitted lately. */
    fun isContended(now: Duration) = load.hasSeveralPriorities(now)

    /**
     * Returns [jobs], given in order of arrival, in the order in which they are placed.
     *
     * One place in eight goes to the first job of a lower priority, so that a lasting burst of a higher one delays the
     * others but does not starve them.
     */
    fun <J> inPlacementOrder(jobs: List<WaitingJob<J>>): List<WaitingJob<J>> {
        val byPriority = jobs.groupBy { it.priority }.toSortedMap()
        if (byPriority.size < 2) return jobs
        // What has started goes first within its priority: its work would be lost.
        val order = compareBy<WaitingJob<J>>({ !it.hasStarted }, { it.slack.inWholeMilliseconds / SLACK_STEP_MILLIS }, { it.cpuMicros })
        val queues = byPriority.values.map { ArrayDeque(it.sortedWith(order)) }
        return List(jobs.size) { position ->
            val open = queues.filter { it.isNotEmpty() }
            val isLowerTurn = open.size > 1 && position % LOWER_PRIORITY_TURN == LOWER_PRIORITY_TURN - 1
            // Lower priorities take turns among themselves.
            val queue = if (isLowerTurn) open[1 + position / LOWER_PRIORITY_TURN % (open.size - 1)] else open.first()
            queue.removeFirst()
        }
    }

    /**
     * Returns the time that a job of [priority] has to expect to wait where the tasks that are there now take [wait].
     *
     * More urgent tasks that arrive during the wait go first, so their share of the capacity is not available to it.
     */
    fun expectedWait(
        wait: Duration,
        priority: Int,
        now: Duration,
    ): Duration = if (wait <= Duration.ZERO) wait else wait / (1 - load.moreUrgentShare(priority, now).coerceAtMost(MAX_URGENT_SHARE))

    /**
     * Returns whether [job] is turned away now because it would miss its objective behind those that go first.
     *
     * Only a held job can be turned away without stopping work, and it is then certain that nothing of it has started.
     *
     * @param wait wait of its first task behind the tasks that are there now
     */
    fun turnsAway(
        job: WaitingJob<*>,
        wait: Duration,
        now: Duration,
    ): Boolean = job.isHeld && !job.hasStarted && isContended(now) && expectedWait(wait, job.priority, now) > job.slack

    private companion object {
        /** One in this many places goes to a lower priority. */
        const val LOWER_PRIORITY_TURN = 8

        /** Expected waits are not known more exactly than this, so smaller differences of slack do not matter. */
        const val SLACK_STEP_MILLIS = 20

        /** Waits are at most doubled: more urgent work often finds free room, and a low priority must not be refused outright. */
        const val MAX_URGENT_SHARE = 0.5
    }
}
