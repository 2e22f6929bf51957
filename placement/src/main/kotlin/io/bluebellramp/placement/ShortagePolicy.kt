package io.bluebellramp.placement

import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

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
class ShortagePolicy(
    private val random: Random = Random.Default,
) {
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

    /**
     * Returns when the caller of a job that is not run may come back.
     *
     * While several priorities compete, callers are spread over the time after [excess], so that they do not return together. The spread is
     * wider for lower priorities, so that the more urgent return first; smaller jobs do as their excess is smaller.
     *
     * @param excess time until what is too much now has drained
     */
    fun retryAfter(
        excess: Duration,
        priority: Int,
        now: Duration,
    ): Duration {
        if (!isContended(now)) return excess.coerceIn(MIN_RETRY_AFTER, MAX_RETRY_AFTER)
        val spread = MIN_RETRY_SPREAD + LOWER_PRIORITY_RETRY_SPREAD * load.moreUrgentShare(priority, now)
        return excess.coerceIn(MIN_RETRY_AFTER, MAX_RETRY_AFTER - spread) + spread * random.nextDouble()
    }

    private companion object {
        val MIN_RETRY_AFTER = 200.milliseconds
        val MAX_RETRY_AFTER = 3.seconds
        val MIN_RETRY_SPREAD = 500.milliseconds
        val LOWER_PRIORITY_RETRY_SPREAD = 2.seconds

        /** One in this many places goes to a lower priority. */
        const val LOWER_PRIORITY_TURN = 8

        /** Expected waits are not known more exactly than this, so smaller differences of slack do not matter. */
        const val SLACK_STEP_MILLIS = 20

        /** Waits are at most doubled: more urgent work often finds free room, and a low priority must not be refused outright. */
        const val MAX_URGENT_SHARE = 0.5
    }
}
