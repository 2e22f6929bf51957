package io.bluebellramp.agent

import io.bluebellramp.messages.Credits
import io.bluebellramp.messages.DispatchKind
import io.bluebellramp.messages.EntryFrame
import io.bluebellramp.messages.TaskReference
import io.bluebellramp.messages.TaskStatus
import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertNotEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class AgentCoreTest {
    private val agent = AgentCoreHarness(slots = 2, connections = 6)

    @Nested
    inner class Credit {
        @Test
        fun `covers the slots and one waiting task, whatever the demand`() {
            connectWithPermit()
            agent.reportDemand(1, tasks = 50)
            assertEquals(3, agent.grantedCredits(1).slots)
            repeat(3) { agent.dispatch(1) }
            assertEquals(2, agent.starts.size, "two tasks are running")
            assertEquals(1, agent.core.snapshot().tasksQueued, "one task is waiting")
            agent.reportDemand(1, tasks = 50)
            assertEquals(3, agent.grantedCredits(1).slots, "no more credits until a task ends")
            agent.finishCall(agent.starts.first())
            assertEquals(4, agent.grantedCredits(1).slots)
            assertEquals(3, agent.starts.size, "the waiting task starts at once")
        }

        @Test
        fun `is required for a dispatch`() {
            connectWithPermit()
            val task = agent.dispatch(1)
            assertEquals(listOf("not_run" to "no_credit"), reported(task))
        }

        @Test
        fun `is recalled when the permit expires and discarded when it is not returned in time`() {
            connectWithPermit()
            agent.reportDemand(1, tasks = 3)
            agent.advance(1_999.milliseconds)
            agent.announce()
            assertEquals(0, agent.recalledCredits(1).slots)
            agent.advance(1.milliseconds)
            assertEquals(Credits(slots = 3, connections = 6), agent.recalledCredits(1))
            agent.receive(1, EntryFrame(returned = Credits(slots = 1)))
            repeat(50) {
                agent.advance(50.milliseconds)
                agent.announce()
            }
            agent.grantPermit()
            assertEquals(6, agent.grantedCredits(1).slots, "three more credits are granted")
        }

        @Test
        fun `for requests is shared evenly between the entries`() {
            connectWithPermit()
            assertEquals(6, agent.grantedCredits(1).connections)
            agent.connect(2, entry = "e2")
            assertEquals(3, agent.recalledCredits(1).connections)
            agent.receive(1, EntryFrame(returned = Credits(connections = 3)))
            assertEquals(3, agent.grantedCredits(2).connections)
            repeat(4) { agent.dispatch(2, DispatchKind.REQUEST) }
            assertEquals(3, agent.starts.size)
        }

        @Test
        fun `is discarded when the target leaves and granted again when it returns`() {
            connectWithPermit()
            agent.reportDemand(1, tasks = 3)
            agent.step(AgentInput.TargetLeft)
            assertEquals(Credits(), agent.recalledCredits(1))
            agent.announce()
            assertEquals(Credits(slots = 6, connections = 12), agent.grantedCredits(1))
        }

        @Test
        fun `ends with the connection`() {
            connectWithPermit()
            agent.reportDemand(1, tasks = 3)
            agent.connect(2, entry = "e2")
            agent.reportDemand(2, tasks = 3)
            assertEquals(0, agent.grantedCredits(2).slots)
            agent.close(1)
            assertEquals(3, agent.grantedCredits(2).slots)
        }
    }

    @Nested
    inner class `A cancel` {
        @Test
        fun `stops a waiting task but not a running one`() {
            val (running, waiting) = startRunningAndWaiting()
            agent.receive(1, EntryFrame(cancels = listOf(running, waiting)))
            assertEquals(listOf("not_run" to "cancelled"), reported(waiting))
            assertEquals(emptyList(), reported(running))
            agent.finishCall(running)
            assertEquals(listOf(TaskStatus.DONE), agent.outcomes(1, running).map { it.status })
        }

        @Test
        fun `that arrives before its dispatch prevents the start`() {
            connectWithPermit()
            agent.reportDemand(1, tasks = 1)
            val task = agent.dispatch(2)
            agent.receive(1, EntryFrame(cancels = listOf(task)))
            agent.receive(1, EntryFrame(dispatches = listOf(agent.createDispatch(task))))
            assertEquals(emptyList(), agent.starts)
            assertEquals(setOf("not_run" to "fenced"), reported(task).toSet())
        }
    }

    @Nested
    inner class `After a reconnection` {
        @Test
        fun `an inquiry reports running, ended and never started attempts`() {
            val (running, waiting) = startRunningAndWaiting()
            val ended = agent.starts.last()
            agent.close(1)
            agent.finishCall(ended)
            agent.connect(2)
            agent.receive(2, EntryFrame(inquiries = listOf(running, waiting, ended)))
            assertEquals(listOf(TaskStatus.RUNNING), agent.outcomes(2, running).map { it.status })
            assertEquals(listOf(TaskStatus.NOT_RUN), agent.outcomes(2, waiting).map { it.status })
            assertEquals(listOf("done"), agent.outcomes(2, ended).map { it.result })
            agent.finishCall(running)
            assertEquals(listOf(TaskStatus.RUNNING, TaskStatus.DONE), agent.outcomes(2, running).map { it.status })
        }

        @Test
        fun `outcomes for an earlier incarnation of the entry are dropped`() {
            val (running, _) = startRunningAndWaiting()
            val ended = agent.starts.last()
            agent.close(1)
            agent.finishCall(ended)
            agent.connect(2, entryIncarnation = "run2")
            agent.finishCall(running)
            assertEquals(List(2) { DropReason.OTHER_ENTRY_INCARNATION }, agent.dropped)
            assertEquals(emptyList(), agent.framesSentOn(2).flatMap { it.outcomes })
        }
    }

    @Nested
    inner class `A permit request` {
        @Test
        fun `goes to another entry when one does not answer in time`() {
            agent.connect(1)
            agent.connect(2, entry = "e2")
            assertEquals(1, agent.lastPermitRequest()?.first)
            repeat(5) { agent.advance(50.milliseconds) }
            assertEquals(2, agent.lastPermitRequest()?.first)
        }

        @Test
        fun `is repeated sooner out of service than in service`() {
            connectWithPermit()
            agent.advance(300.milliseconds)
            agent.grantPermit(revision = 6)
            val inService = agent.lastPermitRequest()
            agent.advance(100.milliseconds)
            assertEquals(inService, agent.lastPermitRequest())
            agent.advance(200.milliseconds)
            agent.grantPermit(revision = 7, inService = false)
            val outOfService = agent.lastPermitRequest()
            agent.advance(100.milliseconds)
            assertNotEquals(outOfService, agent.lastPermitRequest())
        }

        @Test
        fun `answered with an older revision does not replace the permit`() {
            connectWithPermit(revision = 5)
            agent.advance(300.milliseconds)
            agent.grantPermit(revision = 4, inService = false)
            assertEquals(PermitState.VALID, agent.core.snapshot().permitState)
        }

        @Test
        fun `sets the start of the validity of its permit`() {
            agent.connect(1)
            agent.clock.now += 1.seconds
            agent.grantPermit(validMillis = 1500)
            agent.advance(499.milliseconds)
            assertEquals(PermitState.VALID, agent.core.snapshot().permitState)
            agent.advance(1.milliseconds)
            assertEquals(PermitState.EXPIRED, agent.core.snapshot().permitState)
        }
    }

    @Nested
    inner class `After a freeze` {
        @Test
        fun `a waiting task does not start once the permit has expired`() {
            val (running, waiting) = startRunningAndWaiting()
            agent.advance(1_500.milliseconds)
            agent.announce()
            agent.clock.now += 600.milliseconds
            agent.finishCall(running)
            assertEquals(2, agent.starts.size)
            assertEquals(listOf("not_run" to "no_permit"), reported(waiting))
        }
    }

    @Nested
    inner class Shutdown {
        @Test
        fun `refuses waiting tasks, finishes running ones and is drained once the outcomes are received`() {
            val (running, waiting) = startRunningAndWaiting()
            agent.step(AgentInput.ShutdownRequested)
            assertTrue(agent.framesSentOn(1).last().leaving)
            assertEquals(listOf("not_run" to "leaving"), reported(waiting))
            agent.starts.toList().forEach(agent::finishCall)
            assertEquals(listOf(TaskStatus.DONE), agent.outcomes(1, running).map { it.status })
            assertFalse(agent.core.snapshot().isDrained)
            agent.receive(1, EntryFrame(received = agent.framesSentOn(1).sumOf { it.outcomes.size }.toLong()))
            assertTrue(agent.core.snapshot().isDrained)
        }
    }

    private fun connectWithPermit(revision: Long = 1) {
        agent.connect(1)
        agent.grantPermit(revision = revision)
    }

    private fun startRunningAndWaiting(): Pair<TaskReference, TaskReference> {
        connectWithPermit()
        agent.reportDemand(1, tasks = 3)
        val tasks = List(3) { agent.dispatch(1) }
        return tasks.first() to tasks.last()
    }

    private fun reported(task: TaskReference) = agent.outcomes(1, task).map { it.status.name.lowercase() to it.reason }
}
