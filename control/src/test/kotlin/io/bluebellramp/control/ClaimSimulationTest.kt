package io.bluebellramp.control

import io.bluebellramp.core.SubmissionId
import org.junit.jupiter.api.Nested
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class ClaimSimulationTest {
    private var ownedCount = 0
    private var takenOverCount = 0
    private var confirmedCount = 0

    @Nested
    inner class `With restarts, replaced members, frozen entries and unreliable messages` {
        @Test
        fun `a submission has one owner, and an owner cannot confirm its claim after a takeover`() {
            forEachSeed { Run(it).run() }
            println("owned $ownedCount, taken over $takenOverCount, confirmed by the owner $confirmedCount")
            assertTrue(ownedCount > 0)
        }
    }

    private inner class Run(
        private val random: Random,
    ) {
        private val simulation = ClaimSimulation(random)
        private val entries = List(3) { ClaimingEntry("e$it", simulation, random) }
        private val owners = mutableMapOf<SubmissionId, ClaimingEntry>()
        private val takeovers = mutableMapOf<SubmissionId, Duration>()

        fun run() {
            entries.forEach { it.renew() }
            simulation.copyAll()
            repeat(25) { scheduleWithin(28.seconds) { submit() } }
            val faults = listOf(::restartOne, ::replaceOne, ::freezeOne, ::restartOne, ::freezeOne, { simulation.add() }, ::removeOne)
            if (random.nextInt(3) == 0) growAndShrink()
            repeat(random.nextInt(8)) { scheduleWithin(30.seconds) { faults.random(random)() } }
            simulation.timer.run(until = simulation.clock.elapsed + SIMULATED_TIME)
        }

        private fun scheduleWithin(
            latest: Duration,
            action: () -> Unit,
        ) = simulation.timer.after(random.nextLong(latest.inWholeMilliseconds).milliseconds, action)

        private fun restartOne() = simulation.restart(simulation.members.keys.random(random))

        private fun replaceOne() = simulation.replace(simulation.membership().voters.random(random))

        private fun removeOne() = simulation.remove(simulation.membership().voters.random(random))

        /** Two members join early and two are removed shortly after each other, so that few members with grants remain. */
        private fun growAndShrink() {
            repeat(2) { simulation.add() }
            val start = random.nextInt(15_000).milliseconds
            repeat(2) { simulation.timer.after(start + random.nextInt(4000).milliseconds) { removeOne() } }
        }

        private fun freezeOne() {
            entries.random(random).frozenUntil = simulation.clock.elapsed + random.nextInt(15_000).milliseconds
        }

        private fun submit() {
            val id = SubmissionId.createNear(simulation.clock, random)
            if (random.nextInt(40) == 0) simulation.timer.after(random.nextInt(300).milliseconds) { restartOne() }
            repeat(random.nextInt(2, 7)) {
                scheduleWithin(10.seconds) {
                    entries.random(random).let {
                        if (id in
                            owners
                        ) {
                            claimOwned(it, id)
                        } else {
                            claim(it, id)
                        }
                    }
                }
            }
        }

        private fun claim(
            entry: ClaimingEntry,
            id: SubmissionId,
        ) = entry.claim(id) {
            val first = owners.putIfAbsent(id, entry)
            if (first == null) ownedCount++
            assertTrue(first == null || first === entry, "$id is owned by ${first?.holder?.entry} and ${entry.holder.entry}")
            entry.owned += id
        }

        private fun claimOwned(
            entry: ClaimingEntry,
            id: SubmissionId,
        ) {
            val owner = owners.getValue(id)
            when {
                entry === owner -> confirm(entry, id)
                owner.timeSinceLastRenewal() > 3.seconds -> takeOver(entry, owner, id)
                else -> claim(entry, id)
            }
        }

        private fun confirm(
            owner: ClaimingEntry,
            id: SubmissionId,
        ) = owner.claim(id) { sent ->
            confirmedCount++
            val lost = takeovers[id]
            assertTrue(lost == null || lost > sent, "$id was taken over at $lost, and its owner confirmed it with a round sent at $sent")
        }

        private fun takeOver(
            entry: ClaimingEntry,
            owner: ClaimingEntry,
            id: SubmissionId,
        ) = entry.claim(id, takeover = owner.holder.incarnation) {
            if (takeovers.putIfAbsent(id, simulation.clock.elapsed) == null) takenOverCount++
        }
    }
}
