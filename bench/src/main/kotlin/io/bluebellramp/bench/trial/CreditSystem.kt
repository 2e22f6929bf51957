package io.bluebellramp.bench.trial

import io.bluebellramp.placement.CreditPool
import io.bluebellramp.placement.GrantPolicy
import io.bluebellramp.placement.JobQueue
import io.bluebellramp.placement.RunTimeModel

/** The policies of a dispatcher that grants credits. */
internal class CreditPolicies(
    val queue: (RunTimeModel) -> JobQueue,
    val pool: (RunTimeModel) -> CreditPool,
    val grants: () -> GrantPolicy,
)

/** Our own way: agents grant credits, entries dispatch against them. */
internal class CreditSystem(
    private val world: TrialWorld,
    policies: CreditPolicies,
) : TrialSystem {
    private val agents: List<CreditAgent> = world.executors.map { CreditAgent(it.index, world, policies.grants(), ::entries) }
    private val entries: List<CreditEntry> = List(world.settings.entries) { entry(it, policies) }

    init {
        agents.forEach { it.grant() }
        world.time.every(world.settings.tuning.newsPeriod, wanted = { world.busy }) { entries.forEach { it.tellAgents() } }
    }

    override fun submit(job: TrialJob) = entries[job.entry].submit(job)

    override fun cancel(job: TrialJob) = entries[job.entry].cancel(job)

    override fun zoneOut(zone: Int) = agentsOf(zone).forEach { it.setInService(false) }

    override fun zoneIn(zone: Int) = agentsOf(zone).forEach { it.setInService(true) }

    private fun agentsOf(zone: Int) = agents.filter { world.site.zoneOf(it.index) == zone }

    private fun entry(
        index: Int,
        policies: CreditPolicies,
    ): CreditEntry {
        val model = RunTimeModel()
        model.slots = world.site.allSlots
        return CreditEntry(index = index, world = world, queue = policies.queue(model), pool = policies.pool(model), agents = ::agents)
    }
}
