package io.bluebellramp.entry

import io.bluebellramp.messages.Dispatch
import io.bluebellramp.messages.TaskStatus
import java.lang.management.ManagementFactory
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

private const val TASKS = 100_000
private const val WIDTH = 18
private const val SLOTS = 8
private const val RUN_MILLIS = 230
private const val TICK_MILLIS = 5
private const val LOAD = 0.8
private const val NANOS_PER_MICRO = 1000.0
private const val MILLIS_PER_SECOND = 1000.0

/** Measures an entry's core in virtual time at a load of [LOAD]: processor time a task by the number of agents, without JSON. */
fun main() = repeat(2) { listOf(11, 100, 470).forEach(::measure) }

private fun measure(agents: Int) {
    val run = EntryBenchRun(agents)
    run.work(TASKS / 5)
    val threads = ManagementFactory.getThreadMXBean()
    val before = threads.currentThreadCpuTime
    run.work(TASKS)
    val micros = (threads.currentThreadCpuTime - before) / NANOS_PER_MICRO / TASKS
    println("core, $agents agents, $TASKS tasks at %.0f/s: %.1f us a task, %d frames out".format(run.rate, micros, run.frames))
}

private class EntryBenchRun(
    agents: Int,
) {
    private class Due(
        val link: LinkId,
        val dispatches: List<Dispatch>,
        val at: Duration,
    )

    private val driver = CoreDriver(queuedTasks = Int.MAX_VALUE)
    private val due = ArrayDeque<Due>()
    val rate = agents * SLOTS * LOAD * MILLIS_PER_SECOND / RUN_MILLIS
    var frames = 0

    init {
        driver.lease()
        repeat(agents) { driver.agent(name = "agent-$it", slots = SLOTS) }
    }

    fun work(tasks: Int) {
        var owed = 0.0
        var submitted = 0
        while (submitted < tasks) {
            driver.lease()
            driver.pass(TICK_MILLIS)
            end()
            owed += rate * TICK_MILLIS / MILLIS_PER_SECOND
            while (owed >= WIDTH) {
                driver.submit(size = WIDTH)
                owed -= WIDTH
                submitted += WIDTH
            }
            send()
        }
    }

    private fun end() {
        while (due.isNotEmpty() && due.first().at <= driver.now) {
            val next = due.removeFirst()
            driver.report(next.link, next.dispatches, TaskStatus.DONE, credits = next.dispatches.size, ranMicros = RUN_MILLIS * 1_000L)
        }
    }

    private fun send() {
        val links = driver.woken.toList()
        driver.woken.clear()
        for (link in links) {
            val frame = driver.drain(link) ?: continue
            frames++
            if (frame.dispatches.isNotEmpty()) due += Due(link, frame.dispatches, driver.now + RUN_MILLIS.milliseconds)
        }
    }
}
