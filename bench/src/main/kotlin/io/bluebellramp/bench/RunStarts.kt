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
 * One job of a run and what became of it. Times count from the start of the run.
 *
 * @property answered when its answer came
 */
internal class JobResult(
    val plan: JobPlan,
    val answered: Duration,
    val isNotRun: Boolean,
)

/**
 * The starts that the targets recorded of the jobs of a run.
 *
 * @param results the jobs by submission
 */
internal class RunStarts(
    private val results: Map<String, JobResult>,
    files: List<Path>,
    private val startedAt: Instant,
) {
    private class Start(
        val submission: String,
        val task: Int,
        val at: Duration,
    )

    private val byFile = files.associateWith { starts(it) }

    /** Counts of the starts. */
    fun report(): StartsReport {
        val all = byFile.values.flatten()
        val counts = all.groupingBy { it.submission to it.task }.eachCount().values
        return StartsReport(
            starts = all.size,
            twice = counts.count { it > 1 },
            extra = counts.sumOf { it - 1 },
            afterNotRun = all.count { results.getValue(it.submission).isNotRun },
            byTarget = byFile.entries.associate { (file, starts) -> file.fileName.toString() to starts.size },
        )
    }

    /** Every task of the run with where and when it ran, by [zones]. */
    fun tasks(zones: List<ZoneTargets>): List<RanTask> {
        val started = zones.flatMap { zone -> zone.startsFiles.flatMap { byFile[it].orEmpty() }.map { zone.zone to it } }
        val ran = started.map { (zone, start) -> ran(zone, start) }
        val seen = started.map { (_, start) -> start.submission to start.task }.toSet()
        return ran + results.flatMap { (submission, result) -> neverRan(submission, result, seen) }
    }

    private fun ran(
        zone: ZoneId,
        start: Start,
    ): RanTask {
        val plan = results.getValue(start.submission).plan
        return RanTask(arrived = minOf(plan.at, start.at), zone = zone, started = start.at, end = start.at + plan.tasks[start.task])
    }

    private fun neverRan(
        submission: String,
        result: JobResult,
        seen: Set<Pair<String, Int>>,
    ): List<RanTask> =
        result.plan.tasks.indices.filter { submission to it !in seen }.map {
            RanTask(arrived = result.plan.at, zone = null, started = result.answered, end = result.answered)
        }

    private fun starts(file: Path): List<Start> =
        (if (Files.exists(file)) Files.readAllLines(file) else emptyList()).mapNotNull { line ->
            val fields = line.split(' ')
            val start = fields.takeIf { it.size == FIELDS && it[0] in results } ?: return@mapNotNull null
            Start(start[0], start[1].toInt(), (start[FIELDS - 1].toLong() - startedAt.toEpochMilli()).milliseconds)
        }

    private companion object {
        const val FIELDS = 5
    }
}
