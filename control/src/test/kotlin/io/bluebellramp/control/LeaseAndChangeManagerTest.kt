package io.bluebellramp.control

import io.bluebellramp.core.Revision
import io.bluebellramp.messages.ChangeOutcome
import io.bluebellramp.replication.Role
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.async
import kotlinx.coroutines.test.currentTime
import kotlinx.coroutines.test.runCurrent
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertIs
import kotlin.test.assertNull
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.seconds

@OptIn(ExperimentalCoroutinesApi::class)
class LeaseAndChangeManagerTest {
    private val clock = ManualClock(elapsed = 60.seconds)
    private val machine = ConfigurationStateMachine()
    private val log = FakeLog(machine)
    private val leases = LeaseManager(log, machine, clock, LEASE_DURATION) { null }
    private val changes = ConfigurationChangeManager(log, machine, leases, clock)

    private suspend fun submit(
        id: String,
        wait: Boolean = false,
    ) = changes.submit(change(id, 0, base = BASE), wait)

    @Nested
    inner class `An entry that requests a lease` {
        @Test
        fun `gets it when the revision changes, or after at most a quarter of the lease duration`() =
            runTest {
                val unchanged = async { leases.answer(leaseRequest("a", waitMillis = 10_000)) }
                assertTrue(unchanged.await().granted)
                assertEquals(500, currentTime)
                val changed = async { leases.answer(leaseRequest("a", waitMillis = 10_000)) }
                runCurrent()
                submit("first")
                assertEquals(Revision(1), changed.await().revision)
                assertEquals(500, currentTime)
            }

        @Test
        fun `is refused by a member that is not the leader`() =
            runTest {
                log.leads = false
                assertFalse(leases.answer(leaseRequest("a")).granted)
            }

        @Test
        fun `is refused if the majority is lost while the call is held`() =
            runTest {
                val held = async { leases.answer(leaseRequest("a", waitMillis = 300)) }
                runCurrent()
                log.leads = false
                assertFalse(held.await().granted)
            }
    }

    @Nested
    inner class `A change whose response was lost` {
        @Test
        fun `is recognized and applied once when it is resent`() =
            runTest {
                log.losesAnswers = true
                assertEquals(ChangeResult.Unknown, submit("mine"))
                log.losesAnswers = false
                val again = assertIs<ChangeResult.Decided>(submit("mine")).response
                assertEquals(ChangeOutcome.ACCEPTED, again.outcome)
                assertEquals(Revision(1), machine.configuration.value.revision)
            }
    }

    @Nested
    inner class `A caller that waits for a change` {
        @Test
        fun `is told after a limited time that it is not yet in force`() =
            runTest {
                leases.answer(leaseRequest("a"))
                val response = assertIs<ChangeResult.Decided>(submit("mine", wait = true)).response
                assertFalse(response.inForce)
                assertNull(response.inForceMillis)
                assertEquals(3300, currentTime)
            }

        @Test
        fun `is told that it is in force as soon as the entry has reported it`() =
            runTest {
                leases.revisionInForce()
                clock.elapsed += LEASE_DURATION
                leases.answer(leaseRequest("a"))
                val waiting = async { submit("mine", wait = true) }
                runCurrent()
                leases.answer(leaseRequest("a", revision = 1))
                assertTrue(assertIs<ChangeResult.Decided>(waiting.await()).response.inForce)
            }
    }

    @Nested
    inner class `A candidate` {
        @Test
        fun `waits for older leases to expire from its election, not from its candidacy`() {
            log.term = 2
            log.role = Role.CANDIDATE
            leases.revisionInForce()
            clock.elapsed += LEASE_DURATION
            log.role = Role.LEADER
            assertNull(leases.revisionInForce())
        }
    }
}
