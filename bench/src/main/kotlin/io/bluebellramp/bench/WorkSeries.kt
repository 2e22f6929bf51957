package io.bluebellramp.bench

import java.nio.file.Files
import java.nio.file.Path
import java.time.Instant

/** Groups the work of a run by second. */
internal object WorkSeries {
    private const val MILLIS_PER_SECOND = 1000.0
    private const val WHOLE_MILLIS_PER_SECOND = 1000L

    /** Returns the work of each second since [startedAt], from the [complete] jobs and the lines of [startsFiles]. */
    fun of(
        complete: List<SubmissionRecord>,
        startedAt: Instant,
        startsFiles: List<Path>,
    ): List<SecondOfWork> {
        val answered = complete.groupBy { (it.answeredMillis / MILLIS_PER_SECOND).toInt() }
        val starts = startsFiles.flatMap { startSeconds(it, startedAt) }.groupingBy { it }.eachCount()
        val last = (answered.keys + starts.keys).maxOrNull() ?: return emptyList()
        return (0..last).map { second ->
            val jobs = answered[second].orEmpty()
            SecondOfWork(
                second = second,
                tasks = jobs.sumOf { it.tasks },
                workSeconds = jobs.sumOf { it.workMillis } / MILLIS_PER_SECOND,
                starts = starts[second] ?: 0,
            )
        }
    }

    private fun startSeconds(
        file: Path,
        startedAt: Instant,
    ): List<Int> =
        Files.readAllLines(file).mapNotNull { line ->
            val millis = line.substringAfterLast(' ').toLongOrNull() ?: return@mapNotNull null
            val age = millis - startedAt.toEpochMilli()
            if (age < 0) null else (age / WHOLE_MILLIS_PER_SECOND).toInt()
        }
}
