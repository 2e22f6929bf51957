package io.bluebellramp.bench

import io.bluebellramp.core.ZoneId
import java.nio.file.Files
import java.nio.file.Path
import java.time.Instant
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** The slots of an availability zone and the starts files of its targets. */
internal data class ZoneTargets(
    val zone: ZoneId,
    val slots: Int,
    val startsFiles: List<Path>,
)

/**
 * One job of a run and its result. Times are relative to the start of the run.
 *
 * @property answeredAt when its answer was received
 */
internal class JobResult(
    val plan: JobPlan,
    val answeredAt: Duration,
    val isNotRun: Boolean,
)

/**
 * Task starts that the targets recorded for the jobs of a run.
 *
 * @param results the jobs by submission id
 */
internal class RecordedStarts(
    private val results: Map<String, JobResult>,
    files: List<Path>,
    private val startedAt: Instant,
) {
    private class Start(
        val submission: String,
        val task: Int,
        val at: Duration,
    )

    private val startsByFile = files.associateWith { readStarts(it) }

    /** Returns the number of starts, and of repeated starts. */
    fun report(): StartsReport {
        val all = startsByFile.values.flatten()
        val counts = all.groupingBy { it.submission to it.task }.eachCount().values
        return StartsReport(
            starts = all.size,
            twice = counts.count { it > 1 },
            extra = counts.sumOf { it - 1 },
            afterNotRun = all.count { results.getValue(it.submission).isNotRun },
            byTarget = startsByFile.entries.associate { (file, starts) -> file.fileName.toString() to starts.size },
        )
    }

    /** Returns where and when each task of the run was executed at the targets of [zones]. Tasks that never started have no zone. */
    fun taskExecutions(zones: List<ZoneTargets>): List<TaskExecution> {
        val started = zones.flatMap { zone -> zone.startsFiles.flatMap { startsByFile[it].orEmpty() }.map { zone.zone to it } }
        val executions = started.map { (zone, start) -> execution(zone, start) }
        val startedTasks = started.map { (_, start) -> start.submission to start.task }.toSet()
        return executions + results.flatMap { (submission, result) -> unstartedExecutions(submission, result, startedTasks) }
    }

    private fun execution(
        zone: ZoneId,
        start: Start,
    ): TaskExecution {
        val plan = results.getValue(start.submission).plan
        return TaskExecution(
            arrived = minOf(plan.arrivesAt, start.at),
            zone = zone,
            started = start.at,
            end = start.at + plan.tasks[start.task],
        )
    }

    private fun unstartedExecutions(
        submission: String,
        result: JobResult,
        startedTasks: Set<Pair<String, Int>>,
    ): List<TaskExecution> =
        result.plan.tasks.indices.filter { submission to it !in startedTasks }.map {
            TaskExecution(arrived = result.plan.arrivesAt, zone = null, started = result.answeredAt, end = result.answeredAt)
        }

    private fun readStarts(file: Path): List<Start> =
        (if (Files.exists(file)) Files.readAllLines(file) else emptyList()).mapNotNull { line ->
            val fields = line.split(' ')
            val start = fields.takeIf { it.size == FIELD_COUNT && it[0] in results } ?: return@mapNotNull null
            Start(start[0], start[1].toInt(), (start[FIELD_COUNT - 1].toLong() - startedAt.toEpochMilli()).milliseconds)
        }

    private companion object {
        const val FIELD_COUNT = 5
    }
}
