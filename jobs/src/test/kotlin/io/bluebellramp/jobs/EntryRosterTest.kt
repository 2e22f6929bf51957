package io.bluebellramp.jobs

import io.bluebellramp.core.Address
import io.bluebellramp.core.ZoneId
import io.bluebellramp.placement.EntryLocation
import io.bluebellramp.placement.EntrySubset
import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class EntryRosterTest {
    private val roster = EntryRoster(EntrySubset("side-1", ZoneId("z1")))
    private val fleet = List(20) { EntryLocation(Address("10.${it % 5}.0.$it:7720"), ZoneId("z${it % 5}")) }
    private val start = 100.seconds

    /** Updates the roster every 100 ms from [from] for [time], with links to all wanted entries but [down], and returns the last plan. */
    private fun play(
        from: Duration,
        time: Duration,
        listed: List<EntryLocation>,
        agents: Int = 80,
        down: Set<Address> = emptySet(),
        connected: Set<Address> = emptySet(),
    ): EntryRoster.Plan {
        var links = connected
        var plan = roster.update(listed, links, agents, from)
        for (step in 1..(time / 100.milliseconds).toInt()) {
            links = (links + plan.wanted) - down
            plan = roster.update(listed, links, agents, from + 100.milliseconds * step)
        }
        return plan
    }

    @Nested
    inner class AtTheStart {
        @Test
        fun `the entries at the seeds are dialled before control lists any`() {
            val seeds = listOf(Address("10.0.0.1:7720"), Address("10.1.0.1:7720"))
            roster.addSeeds(seeds, start)
            assertEquals(seeds.toSet(), roster.update(emptyList(), emptySet(), 0, start).wanted)
        }

        @Test
        fun `the entries at the seeds stay wanted while the first directories are incomplete`() {
            val seed = Address("10.9.0.1:7720")
            roster.addSeeds(listOf(seed), start)
            assertTrue(seed in play(start, 5.seconds, fleet).wanted)
            assertTrue(seed !in play(start + 11.seconds, 1.seconds, fleet).wanted)
        }
    }

    @Nested
    inner class Failures {
        @Test
        fun `an entry that restarts is dialled all the while and is not replaced`() {
            val before = play(start, 1.seconds, fleet).wanted
            val gone = before.first()
            val during = play(start + 1.seconds, 2.seconds, fleet.filter { it.address != gone }, down = setOf(gone)).wanted
            assertEquals(before, during)
        }

        @Test
        fun `an entry that stays away is replaced and is still dialled`() {
            val before = play(start, 1.seconds, fleet).wanted
            val gone = before.first()
            val after = play(start + 1.seconds, 5.seconds, fleet.filter { it.address != gone }, down = setOf(gone)).wanted
            assertTrue(after.containsAll(before), "$before $after")
            assertEquals(before.size + 1, after.size)
        }

        @Test
        fun `without control the links stay as they are`() {
            val before = play(start, 1.seconds, fleet).wanted
            assertEquals(before, play(start + 1.seconds, 70.seconds, emptyList(), agents = 0, connected = before).wanted)
        }

        @Test
        fun `entries that control no longer lists are forgotten after a minute`() {
            play(start, 1.seconds, fleet)
            val gone = fleet.take(5)
            val plan = play(start + 1.seconds, 62.seconds, fleet - gone.toSet(), down = gone.map { it.address }.toSet())
            assertEquals(emptySet(), plan.wanted intersect gone.map { it.address }.toSet())
        }
    }

    @Nested
    inner class Surplus {
        @Test
        fun `a link that is no longer wanted becomes surplus only after some seconds`() {
            val all = fleet.map { it.address }.toSet()
            assertEquals(emptySet(), play(start, 4.seconds, fleet, connected = all).surplus)
            val plan = play(start + 4.seconds, 2.seconds, fleet, connected = all)
            assertEquals(all - plan.wanted, plan.surplus)
        }

        @Test
        fun `an incomplete directory of a control that has just started closes no link`() {
            val before = play(start, 1.seconds, fleet).wanted
            val plan = play(start + 1.seconds, 2.seconds, fleet.take(3), agents = 2, connected = before)
            assertTrue(plan.wanted.containsAll(before))
            assertEquals(emptySet(), plan.surplus)
        }
    }
}
