package io.bluebellramp.placement

import io.bluebellramp.core.SubmissionId
import io.bluebellramp.core.TeamId
import kotlin.time.Duration

/** The plain list of jobs that the queues are compared with. */
internal class QueueModel(
    val room: Map<TeamId, Int>,
) {
    class Job(
        val id: SubmissionId,
        val team: TeamId?,
        val lateAt: Duration,
        var removed: Boolean = false,
        val waiting: MutableList<Int>,
        val running: MutableSet<Int> = mutableSetOf(),
    ) {
        val left get() = waiting.size + running.size
    }

    val jobs = mutableListOf<Job>()

    fun open(): List<Job> = jobs.filter { !it.removed && it.waiting.isNotEmpty() && (it.team == null || room.getValue(it.team) > 0) }

    fun live(id: SubmissionId): Job? = jobs.find { it.id == id && !it.removed }

    fun runningOf(team: TeamId?) = jobs.filter { it.team == team }.sumOf { it.running.size }

    val waiting get() = jobs.filter { !it.removed }.sumOf { it.waiting.size }

    val startable
        get() =
            open().groupBy { it.team }.entries.sumOf { (team, jobs) ->
                minOf(jobs.sumOf { it.waiting.size }, if (team == null) Int.MAX_VALUE else room.getValue(team))
            }
}
