package io.bluebellramp.jobs

import io.bluebellramp.core.JobId
import io.bluebellramp.core.ZoneId
import io.bluebellramp.messages.StepDispatch
import io.bluebellramp.messages.TaskEvent
import io.bluebellramp.messages.TaskReport
import java.lang.management.ManagementFactory
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private const val TASK_COUNT = 40_000
private const val TASKS_PER_JOB = 8
private const val OPEN_JOBS = 8
private const val NANOS_PER_MICRO = 1000.0

/** Measures the CPU time of [JobScheduler] per task in virtual time, for several numbers of connected agents and without JSON. */
fun main() = repeat(2) { listOf(11, 32, 80, 378, 1000).forEach(::measure) }

private fun measure(agents: Int) {
    val run = SchedulerRun(agents)
    run.runTasks(TASK_COUNT / 5)
    val threads = ManagementFactory.getThreadMXBean()
    val before = threads.currentThreadCpuTime
    run.runTasks(TASK_COUNT)
    val micros = (threads.currentThreadCpuTime - before) / NANOS_PER_MICRO / TASK_COUNT
    println("scheduler, %d agents: %.1f us a task".format(agents, micros))
}

private class SchedulerRun(
    agents: Int,
) : JobOutputs {
    private val clock = FakeClock()
    private val scheduler = JobScheduler(clock, this, lostLinkRunTimeout = 1.seconds, Random(1))
    private val links = List(agents) { LinkId(it + 1L) }
    private val running = ArrayDeque<Pair<LinkId, StepDispatch>>()
    private val received = HashMap<LinkId, Long>()
    private var jobs = 0

    init {
        links.forEach { scheduler.linkUp(it, "agent-$it", ZoneId("z")) }
    }

    fun runTasks(count: Int) {
        repeat(count / TASKS_PER_JOB / OPEN_JOBS) {
            clock.advance(10.milliseconds)
            links.forEach { scheduler.capacityReported(it, capacityReport(received = received[it] ?: 0L)) }
            repeat(OPEN_JOBS) { scheduler.submit(request("%016x".format(++jobs), tasks = TASKS_PER_JOB)) { } }
            while (running.isNotEmpty()) finish(running.removeFirst())
            scheduler.tick()
        }
    }

    private fun finish(dispatched: Pair<LinkId, StepDispatch>) {
        val (link, dispatch) = dispatched
        received.merge(link, dispatch.tasks.size.toLong(), Long::plus)
        for (task in dispatch.tasks) scheduler.report(link, TaskReport(dispatch.job, dispatch.step, task, dispatch.attempt, TaskEvent.DONE))
    }

    override fun dispatch(
        link: LinkId,
        dispatch: StepDispatch,
    ) {
        running += link to dispatch
    }

    override fun stop(
        link: LinkId,
        job: JobId,
    ) = Unit

    override fun onDecision(decision: JobDecision) = Unit
}
