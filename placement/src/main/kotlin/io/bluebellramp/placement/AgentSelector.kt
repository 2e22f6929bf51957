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
     * @param avoids whether the task with this index should avoid an agent; it is sent there only if no other can run it
     */
    fun <A> selectForTasks(
        agents: List<AgentCapacity<A>>,
        milliCpu: Int,
        memoryMb: Int,
        estimate: Duration,
        count: Int,
        avoids: (Int, A) -> Boolean = { _, _ -> false },
    ): List<Choice<A>?> {
        val capacities = agents.associateByTo(LinkedHashMap()) { it.agent }
        return List(count) { task ->
            val preferred = capacities.values.filterNot { avoids(task, it.agent) }
            val choice =
                select(preferred, milliCpu, memoryMb, estimate) ?: select(capacities.values.toList(), milliCpu, memoryMb, estimate)
            if (choice != null) capacities[choice.agent] = capacities.getValue(choice.agent).withTask(milliCpu, memoryMb, estimate)
            choice
        }
    }

    /** Chooses one of [agents] for a task, or returns null if none can run it. */
    fun <A> select(
        agents: List<AgentCapacity<A>>,
        milliCpu: Int,
        memoryMb: Int,
        estimate: Duration,
    ): Choice<A>? {
        val choices =
            agents.filter { it.canFit(milliCpu) }.map {
                it to
                    Choice(it.agent, it.expectedWait(milliCpu, memoryMb), it.expectedRunTime(estimate), it.expectedFailedRunTime(estimate))
            }
        if (choices.isEmpty()) return null
        val best = choices.minOf { it.second.expectedEnd }
        val nearBest = choices.filter { it.second.expectedEnd <= best * NEAR_BEST_FACTOR + NEAR_BEST_MARGIN }
        return selectByWeight(nearBest.filter { it.second.wait <= Duration.ZERO }.ifEmpty { nearBest })
    }

    private fun <A> selectByWeight(nearBest: List<Pair<AgentCapacity<A>, Choice<A>>>): Choice<A> {
        val weights = nearBest.map { (agent, _) -> agent.freeMilliCpu.coerceAtLeast(MIN_WEIGHT_MILLI_CPU) }
        var remainingWeight = random.nextInt(weights.sum())
        for ((index, weight) in weights.withIndex()) {
            remainingWeight -= weight
            if (remainingWeight < 0) return nearBest[index].second
        }
        return nearBest.last().second
    }

    private val Choice<*>.expectedEnd get() = wait + runTime

    private companion object {
        /**
         * Expected ends within this factor of the best count as equally good. Target types and estimates differ by about as much; with a
         * smaller factor all entries would send to the few agents that seem best until those are full.
         */
        const val NEAR_BEST_FACTOR = 1.7
        val NEAR_BEST_MARGIN = 8.milliseconds

        /** Weight of an agent without free capacity. */
        const val MIN_WEIGHT_MILLI_CPU = 500
    }
}
