package io.bluebellramp.placement

import io.bluebellramp.core.SubmissionId
import io.bluebellramp.core.TeamId
import kotlin.time.Duration

/** A simple list of jobs that serves as the reference for the queues. */
internal class ReferenceQueue(
    val quota: Map<TeamId, Int>,
) {
    class Job(
        val id: SubmissionId,
        val team: TeamId?,
        val lateAt: Duration,
        var removed: Boolean = false,
        val waiting: MutableList<Int>,
        val running: MutableSet<Int> = mutableSetOf(),
    ) {
        val tasksLeft get() = waiting.size + running.size
    }

    val jobs = mutableListOf<Job>()

    fun startableJobs(): List<Job> =
        jobs.filter {
            !it.removed && it.waiting.isNotEmpty() &&
                (it.team == null || quota.getValue(it.team) > 0)
        }

    fun find(id: SubmissionId): Job? = jobs.find { it.id == id && !it.removed }

    fun runningTasksOf(team: TeamId?) = jobs.filter { it.team == team }.sumOf { it.running.size }

    val waiting get() = jobs.filter { !it.removed }.sumOf { it.waiting.size }

    val startableTasks
        get() =
            startableJobs().groupBy { it.team }.entries.sumOf { (team, jobs) ->
                minOf(jobs.sumOf { it.waiting.size }, if (team == null) Int.MAX_VALUE else quota.getValue(team))
            }
}
