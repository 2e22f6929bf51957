package io.bluebellramp.placement

/**
 * Learns from the reports of agents how fast each kind of target runs its tasks.
 *
 * Estimates may be wrong, but are so alike on all kinds: only the ratio between two kinds has a meaning. The median over the agents of a kind
 * ignores slow individuals and targets that have just restarted. The state is bounded by the number of connected agents.
 */
class KindSpeeds<A> {
    private class Agent(
        val kind: String,
        val slowness: Double,
    )

    private val agents = HashMap<A, Agent>()

    /** Median ratio of run time to estimate by kind, as of the last [update]. */
    var slowness: Map<String, Double> = emptyMap()
        private set

    /** True if two kinds differed clearly in speed at the last [update]. */
    var differ = false
        private set

    /**
     * Records a report.
     *
     * @param kind kind of the target, or an empty string if the agent does not name one
     * @param slowness ratio of run time to estimate of recent tasks
     */
    fun reported(
        agent: A,
        kind: String,
        slowness: Double,
    ) {
        if (kind.isEmpty()) agents.remove(agent) else agents[agent] = Agent(kind, slowness)
    }

    /** Forgets an agent that is no longer connected. */
    fun gone(agent: A) {
        agents.remove(agent)
    }

    /** Computes [slowness] and [differ] from the last report of each agent. */
    fun update() {
        slowness =
            agents.values
                .groupBy({ it.kind }, { it.slowness })
                .filterValues { it.size >= MIN_AGENTS }
                .mapValues { (_, values) -> values.sorted()[values.size / 2] }
        differ = slowness.size > 1 && slowness.values.max() > slowness.values.min() * CLEAR_FACTOR
    }

    private companion object {
        /** With fewer agents the median could be the value of a slow individual. */
        const val MIN_AGENTS = 3

        /** Kinds that differ by less are chosen alike by [AgentSelector] anyway. */
        const val CLEAR_FACTOR = AgentSelector.NEAR_BEST_FACTOR
    }
}
