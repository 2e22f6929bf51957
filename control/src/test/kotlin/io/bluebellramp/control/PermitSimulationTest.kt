package io.bluebellramp.control

import org.junit.jupiter.api.Nested
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class PermitSimulationTest {
    private var changes = 0
    private var starts = 0
    private var slowestInForce = Duration.ZERO

    @Nested
    inner class `With delayed and lost messages, frozen processes and elections` {
        @Test
        fun `a change is in force within 3 s, and no task starts under an older permit after that or 3 s after acceptance`() {
            forEachSeed { Run(it).run() }
            println("changes $changes, starts $starts, slowest in force $slowestInForce")
            assertTrue(changes > 0 && starts > 0)
        }
    }

    private inner class Run(
        private val random: Random,
    ) {
        private val simulation = PermitSimulation(random)
        private val entries = List(3) { SimulatedEntry("e$it", simulation) }
        private val agents = List(4) { SimulatedAgent(simulation, entries) }
        private val accepted = mutableMapOf<Long, Duration>()
        private val inForce = mutableMapOf<Long, Duration>()

        fun run() {
            entries.forEach { it.run() }
            agents.forEach { it.run(::onTaskStarted) }
            repeat(random.nextInt(1, 5)) { simulation.timer.after(random.nextInt(500, 16_000).milliseconds) { change() } }
            if (random.nextBoolean()) {
                simulation.timer.after(
                    random.nextInt(16_000).milliseconds,
                ) { simulation.elect(outage = random.nextInt(900).milliseconds) }
            }
            repeat(random.nextInt(4)) { simulation.timer.after(random.nextInt(16_000).milliseconds) { freezeOne() } }
            recordInForce()
            simulation.timer.run(until = 20.seconds)
            accepted.forEach { (revision, at) ->
                assertTrue(inForce.getValue(revision) - at <= 3.seconds, "revision $revision was in force too late")
            }
            changes += accepted.size
            slowestInForce =
                maxOf(slowestInForce, accepted.maxOfOrNull { (revision, at) -> inForce.getValue(revision) - at } ?: Duration.ZERO)
        }

        private fun freezeOne() {
            val until = simulation.now + random.nextInt(6000).milliseconds
            if (random.nextBoolean()) entries.random(random).frozenUntil = until else agents.random(random).frozenUntil = until
        }

        private fun change() {
            if (!simulation.hasLeader) return simulation.timer.after(100.milliseconds) { change() }
            accepted[simulation.accept()] = simulation.now
        }

        private fun recordInForce() {
            accepted.keys.filter { it !in inForce && simulation.hasLeader && simulation.isInForce(it) }.forEach {
                inForce[it] =
                    simulation.now
            }
            simulation.timer.after(5.milliseconds) { recordInForce() }
        }

        private fun onTaskStarted(revision: Long) {
            starts++
            inForce.filter { revision < it.key }.forEach { (later, at) ->
                assertTrue(
                    simulation.now <= at,
                    "a task started under $revision at ${simulation.now}, but $later was reported in force at $at",
                )
            }
            accepted.filter { revision < it.key }.forEach { (later, at) ->
                assertTrue(
                    simulation.now - at <= 3.seconds,
                    "a task started under $revision ${simulation.now - at} after $later was accepted",
                )
            }
        }
    }
}
