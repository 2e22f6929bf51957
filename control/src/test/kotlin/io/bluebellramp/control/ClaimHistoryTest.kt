package io.bluebellramp.control

import io.bluebellramp.core.SubmissionId
import org.junit.jupiter.api.Nested
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class ClaimHistoryTest {
    private var won = 0
    private var takenOver = 0
    private var confirmed = 0

    @Nested
    inner class `Whatever is restarted, replaced, delayed, repeated or frozen` {
        @Test
        fun `a submission has one owner, and an owner that was taken over gives no answer`() {
            forEachSeed { History(it).run() }
            println("owned $won, taken over $takenOver, confirmed by the owner $confirmed")
            assertTrue(won > 0)
        }
    }

    private inner class History(
        private val random: Random,
    ) {
        private val world = ClaimWorld(random)
        private val entries = List(3) { ClaimingEntry("e$it", world, random) }
        private val owners = mutableMapOf<SubmissionId, ClaimingEntry>()
        private val takeovers = mutableMapOf<SubmissionId, Duration>()

        fun run() {
            entries.forEach { it.renew() }
            world.copyAll()
            repeat(25) { at(28.seconds) { submit() } }
            val troubles = listOf(::restartOne, ::replaceOne, ::freezeOne, ::restartOne, ::freezeOne, { world.add() }, ::removeOne)
            if (random.nextInt(3) == 0) growAndShrink()
            repeat(random.nextInt(8)) { at(30.seconds) { troubles.random(random)() } }
            world.time.run(until = world.clock.elapsed + RUN)
        }

        private fun at(
            latest: Duration,
            action: () -> Unit,
        ) = world.time.after(random.nextLong(latest.inWholeMilliseconds).milliseconds, action)

        private fun restartOne() = world.restart(world.members.keys.random(random))

        private fun replaceOne() = world.replace(world.membership().voters.random(random))

        private fun removeOne() = world.remove(world.membership().voters.random(random))

        /** Two members join early and two leave close together, so that few who granted a claim are left. */
        private fun growAndShrink() {
            repeat(2) { world.add() }
            val start = random.nextInt(15_000).milliseconds
            repeat(2) { world.time.after(start + random.nextInt(4000).milliseconds) { removeOne() } }
        }

        private fun freezeOne() {
            entries.random(random).frozenUntil = world.clock.elapsed + random.nextInt(15_000).milliseconds
        }

        private fun submit() {
            val id = SubmissionId.near(world.clock, random)
            if (random.nextInt(40) == 0) world.time.after(random.nextInt(300).milliseconds) { restartOne() }
            repeat(random.nextInt(2, 7)) {
                at(10.seconds) {
                    entries.random(random).let {
                        if (id in
                            owners
                        ) {
                            follow(it, id)
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
            if (first == null) won++
            assertTrue(first == null || first === entry, "$id is owned by ${first?.holder?.entry} and ${entry.holder.entry}")
            entry.owned += id
        }

        private fun follow(
            entry: ClaimingEntry,
            id: SubmissionId,
        ) {
            val owner = owners.getValue(id)
            when {
                entry === owner -> confirm(entry, id)
                owner.absent() > 3.seconds -> takeOver(entry, owner, id)
                else -> claim(entry, id)
            }
        }

        private fun confirm(
            owner: ClaimingEntry,
            id: SubmissionId,
        ) = owner.claim(id) { sent ->
            confirmed++
            val lost = takeovers[id]
            assertTrue(lost == null || lost > sent, "$id was taken over at $lost, and its owner confirmed it with a round sent at $sent")
        }

        private fun takeOver(
            entry: ClaimingEntry,
            owner: ClaimingEntry,
            id: SubmissionId,
        ) = entry.claim(id, takeover = owner.holder.incarnation) {
            if (takeovers.putIfAbsent(id, world.clock.elapsed) == null) takenOver++
        }
    }
}
