package io.bluebellramp.jobs.history

import io.bluebellramp.core.JobId
import io.bluebellramp.jobs.JobAnswer
import io.bluebellramp.jobs.LinkId
import io.bluebellramp.jobs.node.LinkTiming
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.DynamicTest.dynamicTest
import org.junit.jupiter.api.TestFactory
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Runs entries, agents and targets in virtual time with random faults: killed entries and agents, crashed targets, cut and reset links,
 * links given up by their agent, lost answers and delayed orders. One test has runs that outlast the time for which an entry waits for the runs of a
 * lost link, and targets that leave nearly all orders to stop unanswered.
 */
class JobsSimulationTest {
    private class RandomHistory(
        seed: Int,
        private val lateStops: Double = 0.0,
        private val runMillis: IntRange = 40..339,
        private val timeout: Duration = 1500.milliseconds,
        private val faults: Int = 18,
        private val mayCrashTargets: Boolean = true,
    ) {
        val sim = Simulation(seed)
        private val targets = ArrayList<SimTarget>()
        private val agents = ArrayList<SimAgent>()
        private val entries = ArrayList<SimEntry>()
        private val links = ArrayList<SimLink>()
        val callers = ArrayList<SimCaller>()
        private var fence = 1L
        private var lastLink = 0L
        private var hasOrderFaults = false

        init {
            repeat(3) { targets += SimTarget(sim, "t$it", targets) }
            targets.forEach { agents += agent(it) }
            repeat(2) { entries += SimEntry(sim) }
            sim.every(40.milliseconds, { true }) { connect() }
            sim.every(LinkTiming.HEARTBEAT_PERIOD, { true }) { links.forEach { it.sendHeartbeats() } }
        }

        private fun agent(target: SimTarget) = SimAgent(sim, target, { hasOrderFaults }, fence++, lateStops)

        private fun connect() {
            links.removeAll { it.isClosed }
            for (entry in entries.filter { it.isAlive }) {
                for (agent in agents.filter { it.isAlive }) {
                    if (links.any { it.entry === entry && it.agent === agent }) continue
                    val link = SimLink(sim, LinkId(++lastLink), entry, agent)
                    links += link
                    entry.links[link.id] = link
                    agent.links[link.id] = link
                    entry.scheduler.linkUp(link.id, "agent", io.bluebellramp.core.ZoneId("z"))
                }
            }
        }

        private fun submit() {
            val id = JobId("%016x".format(callers.size))
            callers += SimCaller(sim, id, { entries.filter { it.isAlive } }, targets, runMillis, timeout).also { it.send() }
        }

        private fun injectFault() {
            when (sim.random.nextInt(7)) {
                0 -> killAgent()
                1 -> killEntry()
                2 -> if (mayCrashTargets) targets.random(sim.random).crash(keepsId = sim.chance(0.5))
                3 -> links.randomOrNull(sim.random)?.reset()
                4 -> cutLinks()
                5 -> links.filter { sim.chance(0.3) }.forEach { it.retire() }
                else -> hasOrderFaults = !hasOrderFaults
            }
        }

        private fun killAgent() {
            val index = sim.random.nextInt(agents.size)
            val killed = agents[index].also { it.isAlive = false }
            links.filter { it.agent === killed }.forEach { it.reset() }
            sim.after(
                (200 + sim.random.nextInt(1500)).milliseconds,
            ) { if (!agents[index].isAlive) agents[index] = agent(targets[index]) }
        }

        private fun killEntry() {
            val index = sim.random.nextInt(entries.size)
            val killed = entries[index].also { it.isAlive = false }
            links.filter { it.entry === killed }.forEach { it.reset() }
            sim.after((200 + sim.random.nextInt(1500)).milliseconds) { if (!entries[index].isAlive) entries[index] = SimEntry(sim) }
        }

        /** Cuts some links. In half of the cases the direction to the entry is cut first. */
        private fun cutLinks() {
            val affectedLinks = links.filter { sim.chance(0.4) }
            val isEntryDirectionFirst = sim.chance(0.5)
            affectedLinks.forEach { it.cut(toAgent = !isEntryDirectionFirst, toEntry = true) }
            if (isEntryDirectionFirst) {
                sim.after(
                    sim.random.nextInt(500).milliseconds,
                ) { affectedLinks.forEach { it.cut(toAgent = true, toEntry = true) } }
            }
            sim.after((500 + sim.random.nextInt(2500)).milliseconds) { affectedLinks.forEach { it.cut(toAgent = false, toEntry = false) } }
        }

        fun run() {
            sim.runFor(2.seconds)
            repeat(240) {
                sim.after((it * 50).milliseconds) { submit() }
            }
            val period = 10_800 / faults
            repeat(faults) { sim.after((period * it + sim.random.nextInt(period)).milliseconds) { injectFault() } }
            sim.runFor(30.seconds)
        }
    }

    @TestFactory
    fun `no task runs twice at once, no target exceeds its capacity, and no job refused as not run is running`(): List<DynamicTest> =
        seeds().map { seed ->
            dynamicTest("seed $seed") {
                val history = RandomHistory(seed)
                history.run()
                assertEquals(emptyList(), history.sim.violations, "seed $seed")
                val completed = history.callers.count { it.answer == JobAnswer.Completed }
                assertTrue(
                    completed > history.callers.size / 4,
                    "seed $seed: only $completed of ${history.callers.size} jobs were completed",
                )
            }
        }

    // Guards against a run that goes on at its target, beside its successor, because no order to stop it was answered.
    @TestFactory
    fun `a long run whose orders to stop stay unanswered ends before its successor starts`(): List<DynamicTest> =
        seeds().map { seed ->
            dynamicTest("seed $seed") {
                val history =
                    RandomHistory(
                        seed,
                        lateStops = 0.95,
                        runMillis = 2000..4000,
                        timeout = 10.seconds,
                        faults = 36,
                        mayCrashTargets = false,
                    )
                history.run()
                assertEquals(emptyList(), history.sim.violations, "seed $seed")
                val completed = history.callers.count { it.answer == JobAnswer.Completed }
                assertTrue(completed > 0, "seed $seed: no job was completed")
            }
        }

    private fun seeds(): List<Int> {
        val singleSeed = System.getProperty("bluebellramp.seed")?.toIntOrNull()
        val count = System.getProperty("bluebellramp.seeds")?.toIntOrNull() ?: 60
        return if (singleSeed != null) listOf(singleSeed) else (1..count).toList()
    }
}
