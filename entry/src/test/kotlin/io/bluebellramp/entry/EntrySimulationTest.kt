package io.bluebellramp.entry

import io.bluebellramp.core.ZoneId
import io.bluebellramp.messages.AnswerOutcome
import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotNull
import kotlin.test.assertTrue
import kotlin.test.fail
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Simulates entries, agents and control processes in virtual time with random faults, once for each seed.
 *
 * The system property `bluebellramp.seed` selects a single seed, and `bluebellramp.seeds` sets the number of seeds.
 */
class EntrySimulationTest {
    private val seeds: List<Int> =
        System
            .getProperty("bluebellramp.seed")
            .orEmpty()
            .toIntOrNull()
            ?.let { listOf(it) }
            ?: List(System.getProperty("bluebellramp.seeds").orEmpty().toIntOrNull() ?: 1_000) { it + 1 }

    private fun forEachSeed(check: (SimWorld) -> Unit) {
        println("seeds ${seeds.first()}..${seeds.last()}")
        seeds.forEach { seed ->
            try {
                check(simulate(seed))
            } catch (e: Throwable) {
                throw AssertionError("seed $seed: ${e.message}", e)
            }
        }
    }

    private fun simulate(seed: Int): SimWorld {
        val world = SimWorld(seed)
        repeat(ENTRY_COUNT) { world.entries += SimEntry(world, it, generation = 0) }
        world.entries.forEach { it.start() }
        repeat(AGENT_COUNT) { world.agents += SimAgent(world, it, generation = 0) }
        world.schedule(50.milliseconds) { world.agents.forEach { it.start() } }
        repeat(SUBMISSION_COUNT) { world.schedule(100.milliseconds + world.randomMillis(0, 6_000)) { submitToEntries(world) } }
        repeat(FAULT_COUNT) { world.schedule(world.randomMillis(200, 7_000)) { injectFault(world) } }
        world.runUntil(8.seconds)
        world.faults = false
        world.control.hasLeader = true
        world.control.zonesOut = emptyList()
        world.runUntil(40.seconds) { world.openCalls == 0 && world.now > 9.seconds }
        assertEquals(0, world.openCalls, "calls without a reply")
        world.runUntil(world.now + 3.seconds)
        return world
    }

    /** Sends one submission to one or several entries at once, and sometimes sends it again or cancels it. */
    private fun submitToEntries(world: SimWorld) {
        val spec = world.newSubmission()
        val copies = if (world.chance(0.3)) ENTRY_COUNT else 1
        repeat(copies) { world.schedule(world.networkDelay()) { randomLiveEntry(world)?.submit(spec) } }
        if (world.chance(0.3)) world.schedule(world.randomMillis(10, 4_000)) { randomLiveEntry(world)?.submit(spec) }
        if (world.chance(0.2)) world.schedule(world.randomMillis(1, 400)) { randomLiveEntry(world)?.step { cancel(spec.id, it) } }
    }

    private fun randomLiveEntry(world: SimWorld) = world.entries.filter { it.isAlive }.randomOrNull(world.random)

    private fun injectFault(world: SimWorld) {
        when (world.random.nextInt(9)) {
            0 -> {
                restartEntry(world)
            }

            1 -> {
                randomLiveEntry(world)?.let { it.frozenUntil = world.now + world.randomMillis(100, 5_000) }
            }

            2 -> {
                randomLiveEntry(world)?.let { it.isolatedUntil = world.now + world.randomMillis(500, 9_000) }
            }

            3 -> {
                restartAgent(world)
            }

            4, 5 -> {
                world.agents
                    .filter { it.isAlive }
                    .random(world.random)
                    .cutRandomLink()
            }

            6 -> {
                removeLeader(world)
            }

            7 -> {
                changeZonesOutOfService(world)
            }

            8 -> {
                if (world.chance(0.3)) world.control.members[0].abstains = true
            }
        }
    }

    private fun restartEntry(world: SimWorld) {
        val entry = randomLiveEntry(world) ?: return
        val index = world.entries.indexOf(entry) % ENTRY_COUNT
        entry.kill()
        val next = SimEntry(world, index, generation = world.entries.size)
        world.schedule(world.randomMillis(100, 2_000)) {
            world.entries += next
            next.start()
            world.agents.forEach { it.connect(next) }
        }
    }

    private fun restartAgent(world: SimWorld) {
        val index = world.random.nextInt(AGENT_COUNT)
        world.agents[index].kill()
        val next = SimAgent(world, index, generation = world.random.nextInt(1_000_000))
        world.agents[index] = next
        world.schedule(world.randomMillis(100, 2_000)) { next.start() }
    }

    private fun removeLeader(world: SimWorld) {
        world.control.hasLeader = false
        world.schedule(world.randomMillis(200, 3_000)) { world.control.hasLeader = true }
    }

    private fun changeZonesOutOfService(world: SimWorld) {
        world.control.revision = world.control.revision.next()
        world.control.zonesOut = if (world.chance(0.5)) listOf(ZoneId("z${world.random.nextInt(2)}")) else emptyList()
    }

    private val SimWorld.answers get() = replies.mapNotNull { (id, reply) -> (reply as? Reply.Answered)?.let { id to it.answer } }

    @Nested
    inner class `With injected faults` {
        @Test
        fun `no task starts twice, each answer belongs to its submission and is complete, and not run is true`() {
            var outcomes = emptyMap<AnswerOutcome, Int>()
            val decisions = HashMap<String, Int>()
            forEachSeed { world ->
                checkStarts(world)
                checkAnswers(world)
                assertEquals(emptyList(), world.lateAnswers, "answers of an owner after a takeover")
                outcomes = addOutcomes(outcomes, world)
                world.decisions.forEach { (kind, count) -> decisions.merge(kind, count, Int::plus) }
            }
            println("answers $outcomes, decisions $decisions")
            if (seeds.size < MIN_SEEDS_FOR_COVERAGE) return
            assertTrue(AnswerOutcome.entries.all { (outcomes[it] ?: 0) > 0 }, "every outcome occurs: $outcomes")
            assertTrue(listOf("join", "takeover", "disown").all { it in decisions }, "every decision occurs: $decisions")
        }

        private fun addOutcomes(
            before: Map<AnswerOutcome, Int>,
            world: SimWorld,
        ): Map<AnswerOutcome, Int> {
            val all = before.toMutableMap()
            world.answers.forEach { (_, answer) -> all.merge(answer.outcome, 1, Int::plus) }
            return all
        }
    }

    private fun checkStarts(world: SimWorld) {
        world.starts.forEach { (id, tasks) ->
            val isIdempotent = world.submissions.getValue(id).idempotent
            tasks.forEach { (task, count) -> if (count > 1 && !isIdempotent) fail("task $task of $id started $count times") }
            assertEquals(1, world.startingEntries.getValue(id).size, "entries that started $id")
        }
    }

    private fun checkAnswers(world: SimWorld) {
        world.answers.forEach { (id, answer) ->
            val submission = world.submissions.getValue(id)
            val started = world.starts[id].orEmpty().size
            assertEquals(id, answer.submission)
            when (answer.outcome) {
                AnswerOutcome.COMPLETE -> {
                    val expected = submission.tasks.map { it.id to "$id/${it.payload}" }
                    assertEquals(expected, assertNotNull(answer.results).map { it.id to it.result })
                    assertEquals<Set<Int>?>(submission.tasks.indices.toSet(), world.finishedTasks[id], "tasks that ended")
                }

                AnswerOutcome.NOT_RUN -> {
                    assertEquals(0, started, "$id is said not to have run")
                }

                AnswerOutcome.FAILED -> {
                    assertEquals(answer.startedTasks ?: started, started, "started tasks of $id")
                }
            }
        }
    }

    private companion object {
        const val MIN_SEEDS_FOR_COVERAGE = 500
        const val ENTRY_COUNT = 3
        const val AGENT_COUNT = 3
        const val SUBMISSION_COUNT = 20
        const val FAULT_COUNT = 8
    }
}
