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

class EntrySeededTest {
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
                check(run(seed))
            } catch (e: Throwable) {
                throw AssertionError("seed $seed: ${e.message}", e)
            }
        }
    }

    private fun run(seed: Int): SimWorld {
        val world = SimWorld(seed)
        repeat(ENTRIES) { world.entries += SimEntry(world, it, run = 0) }
        world.entries.forEach { it.start() }
        repeat(AGENTS) { world.agents += SimAgent(world, it, run = 0) }
        world.at(50.milliseconds) { world.agents.forEach { it.start() } }
        repeat(SUBMISSIONS) { world.at(100.milliseconds + world.millis(0, 6_000)) { call(world) } }
        repeat(FAULTS) { world.at(world.millis(200, 7_000)) { fault(world) } }
        world.run(8.seconds)
        world.faults = false
        world.control.hasLeader = true
        world.control.zonesOut = emptyList()
        world.run(40.seconds) { world.openCalls == 0 && world.now > 9.seconds }
        assertEquals(0, world.openCalls, "calls without a reply")
        world.run(world.now + 3.seconds)
        return world
    }

    /** One submission to one entry or to several at once, now and then sent again or cancelled. */
    private fun call(world: SimWorld) {
        val new = world.newSubmission()
        val copies = if (world.chance(0.3)) ENTRIES else 1
        repeat(copies) { world.at(world.hop()) { live(world)?.submit(new) } }
        if (world.chance(0.3)) world.at(world.millis(10, 4_000)) { live(world)?.submit(new) }
        if (world.chance(0.2)) world.at(world.millis(1, 400)) { live(world)?.step { cancel(new.id, it) } }
    }

    private fun live(world: SimWorld) = world.entries.filter { it.isAlive }.randomOrNull(world.random)

    private fun fault(world: SimWorld) {
        when (world.random.nextInt(9)) {
            0 -> {
                killEntry(world)
            }

            1 -> {
                live(world)?.let { it.frozenUntil = world.now + world.millis(100, 5_000) }
            }

            2 -> {
                live(world)?.let { it.isolatedUntil = world.now + world.millis(500, 9_000) }
            }

            3 -> {
                killAgent(world)
            }

            4, 5 -> {
                world.agents
                    .filter { it.isAlive }
                    .random(world.random)
                    .cutOne()
            }

            6 -> {
                leaderless(world)
            }

            7 -> {
                changeZones(world)
            }

            8 -> {
                if (world.chance(0.3)) world.control.members[0].abstains = true
            }
        }
    }

    private fun killEntry(world: SimWorld) {
        val entry = live(world) ?: return
        val index = world.entries.indexOf(entry) % ENTRIES
        entry.kill()
        val next = SimEntry(world, index, run = world.entries.size)
        world.at(world.millis(100, 2_000)) {
            world.entries += next
            next.start()
            world.agents.forEach { it.connect(next) }
        }
    }

    private fun killAgent(world: SimWorld) {
        val index = world.random.nextInt(AGENTS)
        world.agents[index].kill()
        val next = SimAgent(world, index, run = world.random.nextInt(1_000_000))
        world.agents[index] = next
        world.at(world.millis(100, 2_000)) { next.start() }
    }

    private fun leaderless(world: SimWorld) {
        world.control.hasLeader = false
        world.at(world.millis(200, 3_000)) { world.control.hasLeader = true }
    }

    private fun changeZones(world: SimWorld) {
        world.control.revision = world.control.revision.next()
        world.control.zonesOut = if (world.chance(0.5)) listOf(ZoneId("z${world.random.nextInt(2)}")) else emptyList()
    }

    private val SimWorld.answers get() = replies.mapNotNull { (id, reply) -> (reply as? Reply.Whole)?.let { id to it.answer } }

    @Nested
    inner class `Under faults` {
        @Test
        fun `no task starts twice, each answer is whole and its own, and not run is true`() {
            var outcomes = emptyMap<AnswerOutcome, Int>()
            val decisions = HashMap<String, Int>()
            forEachSeed { world ->
                checkStarts(world)
                checkAnswers(world)
                assertEquals(emptyList(), world.lateAnswers, "answers of an owner after a takeover")
                outcomes = count(outcomes, world)
                world.decisions.forEach { (kind, count) -> decisions.merge(kind, count, Int::plus) }
            }
            println("answers $outcomes, decisions $decisions")
            if (seeds.size < ENOUGH_SEEDS) return
            assertTrue(AnswerOutcome.entries.all { (outcomes[it] ?: 0) > 0 }, "every outcome occurs: $outcomes")
            assertTrue(listOf("join", "takeover", "disown").all { it in decisions }, "every decision occurs: $decisions")
        }

        private fun count(
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
            assertEquals(1, world.starters.getValue(id).size, "entries that started $id")
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
                    assertEquals<Set<Int>?>(submission.tasks.indices.toSet(), world.finished[id], "tasks that ended")
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
        const val ENOUGH_SEEDS = 500
        const val ENTRIES = 3
        const val AGENTS = 3
        const val SUBMISSIONS = 20
        const val FAULTS = 8
    }
}
