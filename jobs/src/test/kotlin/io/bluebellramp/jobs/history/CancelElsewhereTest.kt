package io.bluebellramp.jobs.history

import io.bluebellramp.core.JobId
import io.bluebellramp.core.ZoneId
import io.bluebellramp.jobs.JobAnswer
import io.bluebellramp.jobs.JobRequest
import io.bluebellramp.jobs.LinkId
import io.bluebellramp.jobs.QUEUE
import io.bluebellramp.jobs.StepRequest
import io.bluebellramp.jobs.node.LinkTiming
import org.junit.jupiter.api.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertIs
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** A job that is cancelled at an entry that does not own it, linked to all agents of the owner or to a part of them. */
class CancelElsewhereTest {
    private val sim = Simulation(3)
    private val targets = ArrayList<SimTarget>()
    private val agents = ArrayList<SimAgent>()
    private val owner = SimEntry(sim)
    private val other = SimEntry(sim)
    private val answers = ArrayList<JobAnswer>()
    private val links = ArrayList<SimLink>()
    private val id = JobId("00000000000000a1")

    /** Connects the owner to three agents, and the other entry to the first [shared] of them. */
    private fun connect(shared: Int) {
        repeat(3) { targets += SimTarget(sim, "t$it", targets) }
        targets.forEachIndexed { index, target -> agents += SimAgent(sim, target, { false }, index + 1L) }
        agents.forEach { connect(owner, it) }
        agents.take(shared).forEach { connect(other, it) }
        sim.every(LinkTiming.HEARTBEAT_PERIOD, { true }) { links.forEach { it.sendHeartbeats() } }
        sim.runFor(2.seconds)
    }

    private fun connect(
        entry: SimEntry,
        agent: SimAgent,
    ) {
        val link = SimLink(sim, LinkId(links.size + 1L), entry, agent)
        links += link
        entry.links[link.id] = link
        agent.links[link.id] = link
        entry.scheduler.linkUp(link.id, "agent", ZoneId("z"))
    }

    private fun submit(steps: List<StepRequest>) =
        owner.scheduler.submit(JobRequest(id, QUEUE, "5000", steps, timeout = 20.seconds)) { answers += it }

    private fun isRunning() = targets.any { target -> target.running.keys.any { it.job == id } }

    private fun checkEndsEverywhere() {
        assertFalse(other.cancel(id))
        sim.runFor(500.milliseconds)
        assertFalse(isRunning())
        sim.runFor(5.seconds)
        assertFalse(isRunning())
        assertIs<JobAnswer.Unfinished>(answers.single())
        assertEquals(0, owner.scheduler.openJobs)
        assertEquals(emptyList(), sim.violations)
    }

    @Test
    fun `its tasks end and are not placed again`() {
        connect(shared = 3)
        submit(listOf(StepRequest(6, SimAgent.TASK_MILLI_CPU, 10, 5.seconds)))
        sim.runFor(400.milliseconds)
        assertTrue(isRunning())
        checkEndsEverywhere()
    }

    @Test
    fun `tasks at agents that are linked to the owner alone end as well`() {
        connect(shared = 1)
        submit(listOf(StepRequest(6, SimAgent.TASK_MILLI_CPU, 10, 5.seconds)))
        sim.runFor(400.milliseconds)
        assertTrue(targets.drop(1).any { it.running.isNotEmpty() })
        checkEndsEverywhere()
    }

    @Test
    fun `a step that waits at the owner never starts`() {
        connect(shared = 1)
        val step = StepRequest(1, SimAgent.TASK_MILLI_CPU, 10, 5.seconds)
        submit(listOf(step, StepRequest(1, SimAgent.TASK_MILLI_CPU, 10, 100.milliseconds, dependsOn = listOf(0))))
        sim.runFor(400.milliseconds)
        checkEndsEverywhere()
    }
}
