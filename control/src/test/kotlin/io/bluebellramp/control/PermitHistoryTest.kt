package io.bluebellramp.control

import org.junit.jupiter.api.Nested
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class PermitHistoryTest {
    private var changes = 0
    private var starts = 0
    private var slowest = Duration.ZERO

    @Nested
    inner class `Whatever is delayed, dropped, frozen or elected` {
        @Test
        fun `a change is in force within 3 s, no task starts under an older permit after that, nor 3 s after acceptance`() {
            forEachSeed { History(it).run() }
            println("changes $changes, starts $starts, slowest in force $slowest")
            assertTrue(changes > 0 && starts > 0)
        }
    }

    private inner class History(
        private val random: Random,
    ) {
        private val world = PermitWorld(random)
        private val entries = List(3) { ModelEntry("e$it", world) }
        private val agents = List(4) { ModelAgent(world, entries) }
        private val accepted = mutableMapOf<Long, Duration>()
        private val inForce = mutableMapOf<Long, Duration>()

        fun run() {
            entries.forEach { it.run() }
            agents.forEach { it.run(::started) }
            repeat(random.nextInt(1, 5)) { world.time.after(random.nextInt(500, 16_000).milliseconds) { change() } }
            if (random.nextBoolean()) {
                world.time.after(
                    random.nextInt(16_000).milliseconds,
                ) { world.elect(outage = random.nextInt(900).milliseconds) }
            }
            repeat(random.nextInt(4)) { world.time.after(random.nextInt(16_000).milliseconds) { freezeOne() } }
            watch()
            world.time.run(until = 20.seconds)
            accepted.forEach { (revision, at) ->
                assertTrue(inForce.getValue(revision) - at <= 3.seconds, "revision $revision in force late")
            }
            changes += accepted.size
            slowest = maxOf(slowest, accepted.maxOfOrNull { (revision, at) -> inForce.getValue(revision) - at } ?: Duration.ZERO)
        }

        private fun freezeOne() {
            val until = world.now + random.nextInt(6000).milliseconds
            if (random.nextBoolean()) entries.random(random).frozenUntil = until else agents.random(random).frozenUntil = until
        }

        private fun change() {
            if (!world.isLed) return world.time.after(100.milliseconds) { change() }
            accepted[world.accept()] = world.now
        }

        private fun watch() {
            accepted.keys.filter { it !in inForce && world.isLed && world.isInForce(it) }.forEach { inForce[it] = world.now }
            world.time.after(5.milliseconds) { watch() }
        }

        private fun started(revision: Long) {
            starts++
            inForce.filter { revision < it.key }.forEach { (later, at) ->
                assertTrue(world.now <= at, "a task started under $revision at ${world.now}, but $later was said to be in force at $at")
            }
            accepted.filter { revision < it.key }.forEach { (later, at) ->
                assertTrue(world.now - at <= 3.seconds, "a task started under $revision ${world.now - at} after $later was accepted")
            }
        }
    }
}
