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
    private val agent = CoreHarness(slots = 2, connections = 6)

    @Nested
    inner class Credit {
        @Test
        fun `covers the slots and one waiting task, whatever the demand`() {
            ready()
            agent.demand(1, tasks = 50)
            assertEquals(3, agent.granted(1).slots)
            repeat(3) { agent.dispatch(1) }
            assertEquals(2, agent.starts.size, "two run")
            assertEquals(1, agent.core.view().tasksQueued, "one waits")
            agent.demand(1, tasks = 50)
            assertEquals(3, agent.granted(1).slots, "no more until one ends")
            agent.finish(agent.starts.first())
            assertEquals(4, agent.granted(1).slots)
            assertEquals(3, agent.starts.size, "the waiting one runs at once")
        }

        @Test
        fun `is required`() {
            ready()
            val task = agent.dispatch(1)
            assertEquals(listOf("not_run" to "no_credit"), told(task))
        }

        @Test
        fun `is recalled when the permit runs out and lost when it does not come back`() {
            ready()
            agent.demand(1, tasks = 3)
            agent.advance(1_999.milliseconds)
            agent.announce()
            assertEquals(0, agent.recalled(1).slots)
            agent.advance(1.milliseconds)
            assertEquals(Credits(slots = 3, connections = 6), agent.recalled(1))
            agent.receive(1, EntryFrame(returned = Credits(slots = 1)))
            repeat(50) {
                agent.advance(50.milliseconds)
                agent.announce()
            }
            agent.permit()
            assertEquals(6, agent.granted(1).slots, "three again")
        }

        @Test
        fun `for requests is shared evenly between the entries`() {
            ready()
            assertEquals(6, agent.granted(1).connections)
            agent.connect(2, entry = "e2")
            assertEquals(3, agent.recalled(1).connections)
            agent.receive(1, EntryFrame(returned = Credits(connections = 3)))
            assertEquals(3, agent.granted(2).connections)
            repeat(4) { agent.dispatch(2, DispatchKind.REQUEST) }
            assertEquals(3, agent.starts.size)
        }

        @Test
        fun `is lost when the target leaves and granted again when it is back`() {
            ready()
            agent.demand(1, tasks = 3)
            agent.step(AgentInput.TargetLeft)
            assertEquals(Credits(), agent.recalled(1))
            agent.announce()
            assertEquals(Credits(slots = 6, connections = 12), agent.granted(1))
        }

        @Test
        fun `ends with the connection`() {
            ready()
            agent.demand(1, tasks = 3)
            agent.connect(2, entry = "e2")
            agent.demand(2, tasks = 3)
            assertEquals(0, agent.granted(2).slots)
            agent.close(1)
            assertEquals(3, agent.granted(2).slots)
        }
    }

    @Nested
    inner class `A cancel` {
        @Test
        fun `stops what waits and leaves what runs`() {
            val (running, waiting) = runningAndWaiting()
            agent.receive(1, EntryFrame(cancels = listOf(running, waiting)))
            assertEquals(listOf("not_run" to "cancelled"), told(waiting))
            assertEquals(emptyList(), told(running))
            agent.finish(running)
            assertEquals(listOf(TaskStatus.DONE), agent.outcomes(1, running).map { it.status })
        }

        @Test
        fun `that overtakes its dispatch wins`() {
            ready()
            agent.demand(1, tasks = 1)
            val task = agent.dispatch(2)
            agent.receive(1, EntryFrame(cancels = listOf(task)))
            agent.receive(1, EntryFrame(dispatches = listOf(agent.dispatch(task))))
            assertEquals(emptyList(), agent.starts)
            assertEquals(setOf("not_run" to "fenced"), told(task).toSet())
        }
    }

    @Nested
    inner class `After a reconnection` {
        @Test
        fun `an inquiry tells what runs, what ended and what never will`() {
            val (running, waiting) = runningAndWaiting()
            val ended = agent.starts.last()
            agent.close(1)
            agent.finish(ended)
            agent.connect(2)
            agent.receive(2, EntryFrame(inquiries = listOf(running, waiting, ended)))
            assertEquals(listOf(TaskStatus.RUNNING), agent.outcomes(2, running).map { it.status })
            assertEquals(listOf(TaskStatus.NOT_RUN), agent.outcomes(2, waiting).map { it.status })
            assertEquals(listOf("done"), agent.outcomes(2, ended).map { it.result })
            agent.finish(running)
            assertEquals(listOf(TaskStatus.RUNNING, TaskStatus.DONE), agent.outcomes(2, running).map { it.status })
        }

        @Test
        fun `the outcomes of an earlier run of the entry reach nobody`() {
            val (running, _) = runningAndWaiting()
            val ended = agent.starts.last()
            agent.close(1)
            agent.finish(ended)
            agent.connect(2, run = "run2")
            agent.finish(running)
            assertEquals(List(2) { DropReason.OTHER_ENTRY_INCARNATION }, agent.dropped)
            assertEquals(emptyList(), agent.sent(2).flatMap { it.outcomes })
        }
    }

    @Nested
    inner class `A permit request` {
        @Test
        fun `goes to another entry soon when one does not answer`() {
            agent.connect(1)
            agent.connect(2, entry = "e2")
            assertEquals(1, agent.lastPermitRequest()?.first)
            repeat(5) { agent.advance(50.milliseconds) }
            assertEquals(2, agent.lastPermitRequest()?.first)
        }

        @Test
        fun `follows sooner out of service than in service`() {
            ready()
            agent.advance(300.milliseconds)
            agent.permit(revision = 6)
            val inService = agent.lastPermitRequest()
            agent.advance(100.milliseconds)
            assertEquals(inService, agent.lastPermitRequest())
            agent.advance(200.milliseconds)
            agent.permit(revision = 7, inService = false)
            val outOfService = agent.lastPermitRequest()
            agent.advance(100.milliseconds)
            assertNotEquals(outOfService, agent.lastPermitRequest())
        }

        @Test
        fun `answered by an older revision is no permit`() {
            ready(revision = 5)
            agent.advance(300.milliseconds)
            agent.permit(revision = 4, inService = false)
            assertEquals(PermitState.LIVE, agent.core.view().permit)
        }

        @Test
        fun `sets the start of the life of its permit`() {
            agent.connect(1)
            agent.clock.now += 1.seconds
            agent.permit(validMillis = 1500)
            agent.advance(499.milliseconds)
            assertEquals(PermitState.LIVE, agent.core.view().permit)
            agent.advance(1.milliseconds)
            assertEquals(PermitState.DEAD, agent.core.view().permit)
        }
    }

    @Nested
    inner class `After a freeze` {
        @Test
        fun `a waiting task does not start once the permit has run out`() {
            val (running, waiting) = runningAndWaiting()
            agent.advance(1_500.milliseconds)
            agent.announce()
            agent.clock.now += 600.milliseconds
            agent.finish(running)
            assertEquals(2, agent.starts.size)
            assertEquals(listOf("not_run" to "no_permit"), told(waiting))
        }
    }

    @Nested
    inner class Leaving {
        @Test
        fun `refuses what waits, finishes what runs and ends once the outcomes are received`() {
            val (running, waiting) = runningAndWaiting()
            agent.step(AgentInput.Leave)
            assertTrue(agent.sent(1).last().leaving)
            assertEquals(listOf("not_run" to "leaving"), told(waiting))
            agent.starts.toList().forEach(agent::finish)
            assertEquals(listOf(TaskStatus.DONE), agent.outcomes(1, running).map { it.status })
            assertFalse(agent.core.view().isDrained)
            agent.receive(1, EntryFrame(received = agent.sent(1).sumOf { it.outcomes.size }.toLong()))
            assertTrue(agent.core.view().isDrained)
        }
    }

    private fun ready(revision: Long = 1) {
        agent.connect(1)
        agent.permit(revision = revision)
    }

    private fun runningAndWaiting(): Pair<TaskReference, TaskReference> {
        ready()
        agent.demand(1, tasks = 3)
        val tasks = List(3) { agent.dispatch(1) }
        return tasks.first() to tasks.last()
    }

    private fun told(task: TaskReference) = agent.outcomes(1, task).map { it.status.name.lowercase() to it.reason }
}
