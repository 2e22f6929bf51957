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
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Entries, agents and targets in virtual time, with kills, cuts, resets, crashes, lost answers and orders that are carried out late. */
class SeededHistoriesTest {
    private class History(
        seed: Int,
    ) {
        val world = World(seed)
        private val targets = ArrayList<SimTarget>()
        private val agents = ArrayList<SimAgent>()
        private val entries = ArrayList<SimEntry>()
        private val links = ArrayList<SimLink>()
        val callers = ArrayList<SimCaller>()
        private var fence = 1L
        private var lastLink = 0L
        private var isTroubled = false

        init {
            repeat(3) { targets += SimTarget(world, "t$it", targets) }
            targets.forEach { agents += agent(it) }
            repeat(2) { entries += SimEntry(world) }
            world.every(40.milliseconds, { true }) { connect() }
            world.every(LinkTiming.BEAT_PERIOD, { true }) { links.forEach { it.beat() } }
        }

        private fun agent(target: SimTarget) = SimAgent(world, target, { isTroubled }, fence++)

        private fun connect() {
            links.removeAll { it.isOver }
            for (entry in entries.filter { it.isAlive }) {
                for (agent in agents.filter { it.isAlive }) {
                    if (links.any { it.entry === entry && it.agent === agent }) continue
                    val link = SimLink(world, LinkId(++lastLink), entry, agent)
                    links += link
                    entry.links[link.id] = link
                    agent.links[link.id] = link
                    entry.desk.linkUp(link.id, "agent", io.bluebellramp.core.ZoneId("z"))
                }
            }
        }

        private fun submit() {
            val id = JobId("%016x".format(callers.size))
            callers += SimCaller(world, id, { entries.filter { it.isAlive } }, targets).also { it.send() }
        }

        private fun fault() {
            when (world.random.nextInt(6)) {
                0 -> killAgent()
                1 -> killEntry()
                2 -> targets.random(world.random).crash()
                3 -> links.randomOrNull(world.random)?.reset()
                4 -> cut()
                else -> isTroubled = !isTroubled
            }
        }

        private fun killAgent() {
            val index = world.random.nextInt(agents.size)
            val killed = agents[index].also { it.isAlive = false }
            links.filter { it.agent === killed }.forEach { it.reset() }
            world.after(
                (200 + world.random.nextInt(1500)).milliseconds,
            ) { if (!agents[index].isAlive) agents[index] = agent(targets[index]) }
        }

        private fun killEntry() {
            val index = world.random.nextInt(entries.size)
            val killed = entries[index].also { it.isAlive = false }
            links.filter { it.entry === killed }.forEach { it.reset() }
            world.after((200 + world.random.nextInt(1500)).milliseconds) { if (!entries[index].isAlive) entries[index] = SimEntry(world) }
        }

        /** Cuts some links, half of the times the way back first. */
        private fun cut() {
            val cut = links.filter { world.chance(0.4) }
            val isWayBackFirst = world.chance(0.5)
            cut.forEach { it.cut(toAgent = !isWayBackFirst, toEntry = true) }
            if (isWayBackFirst) {
                world.after(
                    world.random.nextInt(500).milliseconds,
                ) { cut.forEach { it.cut(toAgent = true, toEntry = true) } }
            }
            world.after((500 + world.random.nextInt(2500)).milliseconds) { cut.forEach { it.cut(toAgent = false, toEntry = false) } }
        }

        fun play() {
            world.runFor(2.seconds)
            repeat(240) {
                world.after((it * 50).milliseconds) { submit() }
            }
            repeat(18) { world.after((600 * it + world.random.nextInt(600)).milliseconds) { fault() } }
            world.runFor(30.seconds)
        }
    }

    @TestFactory
    fun `no task runs twice at once, no target is overfull, and nothing runs after a refusal`(): List<DynamicTest> =
        seeds().map { seed ->
            dynamicTest("seed $seed") {
                val history = History(seed)
                history.play()
                assertEquals(emptyList(), history.world.violations, "seed $seed")
                val completed = history.callers.count { it.answer == JobAnswer.Completed }
                assertTrue(
                    completed > history.callers.size / 4,
                    "seed $seed: only $completed of ${history.callers.size} jobs were completed",
                )
            }
        }

    private fun seeds(): List<Int> {
        val one = System.getProperty("bluebellramp.seed")?.toIntOrNull()
        val count = System.getProperty("bluebellramp.seeds")?.toIntOrNull() ?: 60
        return if (one != null) listOf(one) else (1..count).toList()
    }
}
