package io.bluebellramp.bench.trial

import io.bluebellramp.placement.CreditPool
import io.bluebellramp.placement.GrantPolicy
import io.bluebellramp.placement.JobQueue
import io.bluebellramp.placement.RunTimeModel

/** Factories for the policies of a credit-based dispatcher. */
internal class CreditPolicies(
    val queue: (RunTimeModel) -> JobQueue,
    val pool: (RunTimeModel) -> CreditPool,
    val grants: () -> GrantPolicy,
)

/** Credit-based dispatcher: agents grant credits and entries dispatch tasks against them. */
internal class CreditSystem(
    private val context: TrialContext,
    policies: CreditPolicies,
) : TrialSystem {
    private val agents: List<CreditAgent> = context.executors.map { CreditAgent(it.index, context, policies.grants(), ::entries) }
    private val entries: List<CreditEntry> = List(context.settings.entries) { entry(it, policies) }

    init {
        agents.forEach { it.grant() }
        context.time.every(
            context.settings.tuning.demandReportPeriod,
            wanted = { context.isRunning },
        ) { entries.forEach { it.reportDemand() } }
    }

    override fun submit(job: TrialJob) = entries[job.entry].submit(job)

    override fun cancel(job: TrialJob) = entries[job.entry].cancel(job)

    override fun zoneOut(zone: Int) = agentsOf(zone).forEach { it.setInService(false) }

    override fun zoneIn(zone: Int) = agentsOf(zone).forEach { it.setInService(true) }

    private fun agentsOf(zone: Int) = agents.filter { context.site.zoneOf(it.index) == zone }

    private fun entry(
        index: Int,
        policies: CreditPolicies,
    ): CreditEntry {
        val model = RunTimeModel()
        model.slots = context.site.allSlots
        return CreditEntry(index = index, context = context, queue = policies.queue(model), pool = policies.pool(model), agents = ::agents)
    }
}
