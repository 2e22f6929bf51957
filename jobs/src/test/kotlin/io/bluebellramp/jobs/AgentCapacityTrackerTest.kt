package io.bluebellramp.jobs

import io.bluebellramp.core.JobId
import io.bluebellramp.core.ServiceId
import io.bluebellramp.core.ZoneId
import io.bluebellramp.messages.QueueWork
import io.bluebellramp.messages.RoomReport
import io.bluebellramp.messages.StepDispatch
import io.bluebellramp.placement.AgentCapacity
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

class AgentCapacityTrackerTest {
    private val queues = List(5) { "queue-$it" }

    @Test
    fun `the capacity is that of the last report and the tasks it doesn't cover, whatever was asked before`() {
        for (seed in 1..300) {
            val random = Random(seed)
            val tracker = AgentCapacityTracker(LinkId(1), "agent", ZoneId("a"))
            var report = RoomReport(accepting = false)
            var reportedAt = Duration.ZERO
            val dispatches = ArrayList<StepDispatch>()
            for (step in 1..60) {
                val now = (step * 7).milliseconds
                when (random.nextInt(4)) {
                    0 -> {
                        val received = random.nextLong(report.received, dispatches.sumOf { it.tasks.size } + 1L)
                        report = randomReport(random, received)
                        reportedAt = now
                        tracker.update(report, now)
                    }

                    1 -> {
                        reportedAt = now
                        tracker.confirm(now)
                    }

                    2 -> {
                        dispatches += randomDispatch(random).also(tracker::addDispatched)
                    }
                }
                val queue = queues.random(random)
                val expected = expectedCapacity(report, dispatches, queue, now - reportedAt)
                assertEquals(expected, tracker.capacityFor(now, queue), "seed $seed, step $step")
            }
        }
    }

    private fun expectedCapacity(
        report: RoomReport,
        dispatches: List<StepDispatch>,
        queue: String,
        reportAge: Duration,
    ): AgentCapacity<LinkId> {
        var count = 0
        val unacknowledged = dispatches.filter { dispatch -> (count + dispatch.tasks.size).also { count = it } > report.received }
        val free = report.freeMilliCpu - unacknowledged.sumOf { it.tasks.size * it.milliCpu }
        val names = report.waiting.map { it.queue }
        val ahead = if (queue in names) names.take(names.indexOf(queue) + 1) else listOf(queue)
        val dispatchedAhead = unacknowledged.filter { it.queue in ahead && free < 0 }
        return AgentCapacity(
            agent = LinkId(1),
            milliCpu = report.milliCpu,
            freeMilliCpu = free,
            freeMemoryMb = report.freeMemoryMb - unacknowledged.sumOf { it.tasks.size * it.memoryMb },
            workAheadCpuMicros =
                report.waiting.filter { it.queue in ahead }.sumOf { it.work } +
                    dispatchedAhead.sumOf { it.tasks.size * it.milliCpu * it.estimateMillis },
            slowness = report.slowness,
            failureRate = report.failing,
            reportAge = reportAge,
        )
    }

    private fun randomReport(
        random: Random,
        received: Long,
    ) = RoomReport(
        accepting = true,
        service = ServiceId("s"),
        milliCpu = 4000,
        freeMilliCpu = random.nextInt(0, 2000),
        freeMemoryMb = 1000,
        waiting = queues.shuffled(random).take(random.nextInt(4)).map { QueueWork(it, random.nextLong(1000)) },
        received = received,
    )

    private fun randomDispatch(random: Random) =
        StepDispatch(
            job = JobId("0123456789abcdef"),
            step = 0,
            tasks = List(random.nextInt(1, 4)) { it },
            attempt = 1,
            queue = queues.random(random),
            service = ServiceId("s"),
            milliCpu = 250,
            memoryMb = 10,
            spec = "",
            startWithinMillis = 50,
            estimateMillis = 80,
        )
}
