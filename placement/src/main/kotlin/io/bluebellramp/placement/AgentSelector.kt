package io.bluebellramp.placement

import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Chooses an agent for each task of a step from capacity reports that are some tens of milliseconds old.
 *
 * Several entries place tasks at the same time. If each chose the agent with the most free capacity, all would overload that agent, so
 * the choice among agents with a similar expected end is random, weighted by free capacity. The expected end includes slow and failed
 * runs, so an agent that is free only because its tasks fail is not preferred to a wait elsewhere.
 *
 * Where targets differ in speed by more than that, the fast ones would fill up and gather waiting tasks while slow ones are free on which the
 * tasks would still end in time. With a time limit, agents that can start a task now and end it in time are therefore chosen first.
 */
class AgentSelector(
    private val random: Random,
) {
    /**
     * The agent chosen for a task.
     *
     * @property wait expected time until the task starts there
     * @property runTime expected run time there, including failed runs
     * @property failedRunTime part of [runTime] that is lost to failed runs
     */
    data class Choice<A>(
        val agent: A,
        val wait: Duration,
        val runTime: Duration,
        val failedRunTime: Duration,
    )

    /**
     * Chooses an agent for each of [count] tasks with the same needs. Each choice takes the earlier ones into account. The result is null
     * for a task that none of [agents] can run.
     *
     * @param timeLeft time until the tasks must have ended, or null to choose by the expected end alone
     * @param avoids whether the task with this index should avoid an agent; it is sent there only if no other can run it
     */
    fun <A> selectForTasks(
        agents: List<AgentCapacity<A>>,
        milliCpu: Int,
        memoryMb: Int,
        estimate: Duration,
        count: Int,
        timeLeft: Duration? = null,
        avoids: (Int, A) -> Boolean = { _, _ -> false },
    ): List<Choice<A>?> {
        val needs = Needs(milliCpu, memoryMb, estimate)
        val candidates = agents.filter { it.canFit(milliCpu) }.map { Candidate(it, needs) }
        return List(count) { task ->
            val preferred = candidates.filterNotTo(ArrayList(candidates.size)) { avoids(task, it.capacity.agent) }
            val chosen = select(inTime(preferred.ifEmpty { candidates }, timeLeft))
            chosen?.choice.also { chosen?.addTask() }
        }
    }

    /** Chooses one of [agents] for a task, or returns null if none can run it. */
    fun <A> select(
        agents: List<AgentCapacity<A>>,
        milliCpu: Int,
        memoryMb: Int,
        estimate: Duration,
    ): Choice<A>? = selectForTasks(agents, milliCpu, memoryMb, estimate, count = 1).single()

    /** Returns the [candidates] that can start a task now and end it within [timeLeft], or all if there are none. */
    private fun <A> inTime(
        candidates: List<Candidate<A>>,
        timeLeft: Duration?,
    ): List<Candidate<A>> {
        if (timeLeft == null) return candidates
        return candidates.filter { it.choice.wait <= Duration.ZERO && it.expectedEnd <= timeLeft }.ifEmpty { candidates }
    }

    private fun <A> select(candidates: List<Candidate<A>>): Candidate<A>? {
        if (candidates.isEmpty()) return null
        val latestEnd = candidates.minOf { it.expectedEnd } * NEAR_BEST_FACTOR + NEAR_BEST_MARGIN
        val isRoomFree = candidates.any { it.expectedEnd <= latestEnd && it.choice.wait <= Duration.ZERO }

        fun isNearBest(candidate: Candidate<A>) =
            candidate.expectedEnd <= latestEnd && (!isRoomFree || candidate.choice.wait <= Duration.ZERO)
        var remainingWeight = random.nextInt(candidates.sumOf { if (isNearBest(it)) it.weight else 0 })
        return candidates.first { candidate ->
            if (isNearBest(candidate)) remainingWeight -= candidate.weight
            remainingWeight < 0
        }
    }

    private class Needs(
        val milliCpu: Int,
        val memoryMb: Int,
        val estimate: Duration,
    )

    /** An agent with what is expected of the next task there, which changes only when a task is added. */
    private class Candidate<A>(
        var capacity: AgentCapacity<A>,
        private val needs: Needs,
    ) {
        var choice = choiceNow()
            private set

        val expectedEnd get() = choice.wait + choice.runTime

        val weight get() = capacity.freeMilliCpu.coerceAtLeast(MIN_WEIGHT_MILLI_CPU)

        fun addTask() {
            capacity = capacity.withTask(needs.milliCpu, needs.memoryMb, needs.estimate)
            choice = choiceNow()
        }

        private fun choiceNow() =
            Choice(
                capacity.agent,
                capacity.expectedWait(needs.milliCpu, needs.memoryMb),
                capacity.expectedRunTime(needs.estimate),
                capacity.expectedFailedRunTime(needs.estimate),
            )
    }

    internal companion object {
        /**
         * Expected ends within this factor of the best count as equally good. Target types and estimates differ by about as much; with a
         * smaller factor all entries would send to the few agents that seem best until those are full.
         */
        const val NEAR_BEST_FACTOR = 1.7
        private val NEAR_BEST_MARGIN = 8.milliseconds

        /** Weight of an agent without free capacity. */
        private const val MIN_WEIGHT_MILLI_CPU = 500
    }
}
