package io.bluebellramp.control

import io.bluebellramp.core.Address
import io.bluebellramp.core.EntryId
import io.bluebellramp.core.IncarnationId
import io.bluebellramp.core.Revision
import io.bluebellramp.core.SiteId
import io.bluebellramp.core.ZoneId
import io.bluebellramp.messages.LeaseRequest
import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertNull
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

internal fun leaseRequest(
    entry: String,
    incarnation: String = "$entry-1",
    revision: Long = 0,
    oldestPermit: Long = revision,
    waitMillis: Long = 0,
    leaving: Boolean = false,
) = LeaseRequest(
    entry = EntryId(entry),
    incarnation = IncarnationId(incarnation),
    address = Address("127.0.0.1:7000"),
    site = SiteId("vestland"),
    zone = ZoneId("bergen-a"),
    revision = Revision(revision),
    oldestPermit = Revision(oldestPermit),
    agents = 11,
    waitMillis = waitMillis,
    leaving = leaving,
)

class LeaseTableTest {
    private val clock = ManualClock()
    private val table = LeaseTable(clock, leaseDuration = 2.seconds)

    init {
        table.enterTerm(term = 1)
        clock.elapsed = 10.seconds
    }

    private fun lease(
        request: LeaseRequest,
        revision: Long,
    ) {
        table.recordRequest(request, clock.elapsed)
        table.recordLease(request, clock.elapsed, Revision(revision))
    }

    private fun isInForce(revision: Long) = table.isInForce(Revision(revision), accepted = Revision(revision))

    @Nested
    inner class `A revision is in force` {
        @Test
        fun `immediately if no entry has a lease`() = assertTrue(isInForce(5))

        @Test
        fun `once every entry has reported that its older permits expired`() {
            lease(leaseRequest("a", revision = 1), revision = 1)
            lease(leaseRequest("b", revision = 1), revision = 1)
            assertFalse(isInForce(2))
            lease(leaseRequest("a", revision = 2, oldestPermit = 2), revision = 2)
            assertFalse(isInForce(2))
            lease(leaseRequest("b", revision = 2, oldestPermit = 1), revision = 2)
            assertFalse(isInForce(2))
            lease(leaseRequest("b", revision = 2, oldestPermit = 2), revision = 2)
            assertTrue(isInForce(2))
        }

        @Test
        fun `once the older leases of a silent entry have expired`() {
            lease(leaseRequest("a", revision = 1), revision = 1)
            clock.elapsed += 1999.milliseconds
            assertFalse(isInForce(2))
            clock.elapsed += 1.milliseconds
            assertTrue(isInForce(2))
        }

        @Test
        fun `only when the lease of an earlier incarnation of the entry has expired too`() {
            lease(leaseRequest("a", revision = 1), revision = 1)
            lease(leaseRequest("a", incarnation = "a-2", revision = 2), revision = 2)
            assertFalse(isInForce(2))
            clock.elapsed += 2.seconds
            assertTrue(isInForce(2))
        }

        @Test
        fun `only when the lease of an entry that left has expired`() {
            lease(leaseRequest("a", revision = 1), revision = 1)
            lease(leaseRequest("a", revision = 1, leaving = true), revision = 1)
            assertTrue(table.livePeers().isEmpty())
            assertFalse(isInForce(2))
        }

        @Test
        fun `one lease duration after acceptance, also if the leader changes`() {
            table.recordAccepted(Revision(2))
            clock.elapsed += 1500.milliseconds
            table.enterTerm(term = 2)
            assertNull(table.revisionInForce(Revision(3)))
            clock.elapsed += 500.milliseconds
            assertEquals(Revision(2), table.revisionInForce(Revision(3)))
        }

        @Test
        fun `only one lease duration after an election`() {
            table.enterTerm(term = 4)
            clock.elapsed += 1999.milliseconds
            assertNull(table.revisionInForce(Revision(7)))
            clock.elapsed += 1.milliseconds
            assertEquals(Revision(7), table.revisionInForce(Revision(7)))
        }
    }

    @Nested
    inner class `An entry is live` {
        @Test
        fun `for three seconds after its last request, by incarnation`() {
            lease(leaseRequest("a"), revision = 0)
            clock.elapsed += 1.seconds
            lease(leaseRequest("a", incarnation = "a-2"), revision = 0)
            assertEquals(listOf("a-1", "a-2"), table.livePeers().map { it.incarnation.value })
            clock.elapsed += 2.seconds
            assertEquals(listOf("a-2"), table.livePeers().map { it.incarnation.value })
            assertEquals(2000, table.statuses().single().silentMillis)
        }
    }
}
