package io.bluebellramp.placement

import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Chooses an agent for each task of a step from reports that are some tens of milliseconds old.
 *
 * Answers moderate to heavy load from several entries at once: entries that all chose the agent with most room would meet there, so the
 * choice among agents that are about equally good is drawn by lot, in proportion to their free room. An agent that is free because it
 * fails or drags is no better than a wait elsewhere.
 */
class TaskSpreader(
    private val random: Random,
) {
    /**
     * An agent for a task.
     *
     * @property wait time until it is likely to start there
     * @property runTime time that it is likely to take there, with the runs that fail before it
     * @property rework part of it that goes to runs that fail
     */
    data class Choice<A>(
        val agent: A,
        val wait: Duration,
        val runTime: Duration,
        val rework: Duration,
    )

    /**
     * Returns the choice for each of [count] tasks with the same needs, each made with those before it taken into account; null for a task
     * that nothing in [views] can run.
     *
     * @param avoids tells whether a task should rather not go to an agent; it does if there is no other
     */
    fun <A> spread(
        views: List<RoomView<A>>,
        milliCpu: Int,
        memoryMb: Int,
        estimate: Duration,
        count: Int,
        avoids: (Int, A) -> Boolean = { _, _ -> false },
    ): List<Choice<A>?> {
        val current = views.associateByTo(LinkedHashMap()) { it.agent }
        return List(count) { task ->
            val preferred = current.values.filterNot { avoids(task, it.agent) }
            val choice =
                choose(preferred, milliCpu, memoryMb, estimate) ?: choose(current.values.toList(), milliCpu, memoryMb, estimate)
            if (choice != null) current[choice.agent] = current.getValue(choice.agent).withTask(milliCpu, memoryMb, estimate)
            choice
        }
    }

    /** Returns the choice for one task among [views], or null if none can run it. */
    fun <A> choose(
        views: List<RoomView<A>>,
        milliCpu: Int,
        memoryMb: Int,
        estimate: Duration,
    ): Choice<A>? {
        val choices =
            views.filter { it.canHold(milliCpu) }.map {
                it to Choice(it.agent, it.expectedWait(milliCpu, memoryMb), it.expectedRun(estimate), it.expectedRework(estimate))
            }
        if (choices.isEmpty()) return null
        val best = choices.minOf { it.second.end }
        val good = choices.filter { it.second.end <= best * NEARLY + NEARLY_SAME }
        return draw(good.filter { it.second.wait <= Duration.ZERO }.ifEmpty { good })
    }

    private fun <A> draw(good: List<Pair<RoomView<A>, Choice<A>>>): Choice<A> {
        val weights = good.map { (view, _) -> view.freeMilliCpu.coerceAtLeast(LEAST_WEIGHT) }
        var left = random.nextInt(weights.sum())
        for ((index, weight) in weights.withIndex()) {
            left -= weight
            if (left < 0) return good[index].second
        }
        return good.last().second
    }

    private val Choice<*>.end get() = wait + runTime

    private companion object {
        /**
         * Expected ends within this factor are as good as the best. Kinds of target and errors of estimates differ by about as much; with less
         * the entries would all send to the few agents that seem best, until those are full.
         */
        const val NEARLY = 1.7
        val NEARLY_SAME = 8.milliseconds

        /** Weight of an agent without free room (thousandths of a core). */
        const val LEAST_WEIGHT = 500
    }
}
