package io.bluebellramp.entry

import io.bluebellramp.messages.Dispatch
import io.bluebellramp.messages.TaskStatus
import java.lang.management.ManagementFactory
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

private const val TASK_COUNT = 100_000
private const val TASKS_PER_JOB = 18
private const val SLOTS_PER_AGENT = 8
private const val TASK_MILLIS = 230
private const val TICK_MILLIS = 5
private const val SLOT_UTILIZATION = 0.8
private const val NANOS_PER_MICRO = 1000.0
private const val MILLIS_PER_SECOND = 1000.0

/**
 * Measures the CPU time of [EntryCore] per task in virtual time, for several numbers of agents and without JSON. Agents use
 * [SLOT_UTILIZATION] of their slots.
 */
fun main() = repeat(2) { listOf(11, 100, 470).forEach(::measure) }

private fun measure(agents: Int) {
    val run = BenchmarkRun(agents)
    run.runTasks(TASK_COUNT / 5)
    val threads = ManagementFactory.getThreadMXBean()
    val before = threads.currentThreadCpuTime
    run.runTasks(TASK_COUNT)
    val micros = (threads.currentThreadCpuTime - before) / NANOS_PER_MICRO / TASK_COUNT
    println("core, $agents agents, $TASK_COUNT tasks at %.0f/s: %.1f us a task, %d frames out".format(run.rate, micros, run.framesSent))
}

private class BenchmarkRun(
    agents: Int,
) {
    private class RunningTasks(
        val link: LinkId,
        val dispatches: List<Dispatch>,
        val endsAt: Duration,
    )

    private val driver = CoreDriver(maxQueuedTasks = Int.MAX_VALUE)
    private val runningTasks = ArrayDeque<RunningTasks>()
    val rate = agents * SLOTS_PER_AGENT * SLOT_UTILIZATION * MILLIS_PER_SECOND / TASK_MILLIS
    var framesSent = 0

    init {
        driver.renewLease()
        repeat(agents) { driver.connectAgent(name = "agent-$it", slots = SLOTS_PER_AGENT) }
    }

    fun runTasks(tasks: Int) {
        var tasksToSubmit = 0.0
        var submitted = 0
        while (submitted < tasks) {
            driver.renewLease()
            driver.advance(TICK_MILLIS)
            reportFinished()
            tasksToSubmit += rate * TICK_MILLIS / MILLIS_PER_SECOND
            while (tasksToSubmit >= TASKS_PER_JOB) {
                driver.submit(size = TASKS_PER_JOB)
                tasksToSubmit -= TASKS_PER_JOB
                submitted += TASKS_PER_JOB
            }
            flushLinks()
        }
    }

    private fun reportFinished() {
        while (runningTasks.isNotEmpty() && runningTasks.first().endsAt <= driver.now) {
            val next = runningTasks.removeFirst()
            driver.report(next.link, next.dispatches, TaskStatus.DONE, credits = next.dispatches.size, ranMicros = TASK_MILLIS * 1_000L)
        }
    }

    private fun flushLinks() {
        val links = driver.linksToFlush.toList()
        driver.linksToFlush.clear()
        for (link in links) {
            val frame = driver.takeFrame(link) ?: continue
            framesSent++
            if (frame.dispatches.isNotEmpty()) runningTasks += RunningTasks(link, frame.dispatches, driver.now + TASK_MILLIS.milliseconds)
        }
    }
}
