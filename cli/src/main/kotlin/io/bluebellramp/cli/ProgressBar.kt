package io.bluebellramp.cli

import io.bluebellramp.core.SubmissionId
import io.bluebellramp.messages.PendingBody
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.DurationUnit
import kotlin.time.TimeSource

private val INITIAL_DELAY = 1000.milliseconds
private val REDRAW_INTERVAL = 200.milliseconds
private const val BAR_WIDTH_CHARACTERS = 20

/**
 * Runs [block] and, after [INITIAL_DELAY], shows the progress of a submission on the terminal until it returns.
 *
 * @param show false to show nothing; nothing is shown either if the process has no terminal
 * @param fetchProgress returns how many tasks are done, or null if no entry reports it
 */
internal suspend fun <T> withProgressBar(
    submission: SubmissionId,
    show: Boolean,
    fetchProgress: suspend () -> PendingBody?,
    block: suspend () -> T,
): T =
    coroutineScope {
        val bar = if (show && System.console() != null) launch { drawProgressBar(submission, fetchProgress) } else null
        try {
            block()
        } finally {
            bar?.let {
                it.cancel()
                System.err.print("\r\u001B[K")
            }
        }
    }

private suspend fun drawProgressBar(
    submission: SubmissionId,
    fetchProgress: suspend () -> PendingBody?,
) {
    val start = TimeSource.Monotonic.markNow()
    delay(INITIAL_DELAY)
    var frame = 0
    while (true) {
        System.err.print("\r\u001B[K${progressLine(fetchProgress(), frame++, start.elapsedNow())}  $submission")
        delay(REDRAW_INTERVAL)
    }
}

/** Returns the bar with the finished tasks and the elapsed time. While their number is unknown, a marker moves along the bar with [frame]. */
internal fun progressLine(
    pending: PendingBody?,
    frame: Int,
    elapsed: Duration,
): String {
    val seconds = "%.1f s".format(elapsed.toDouble(DurationUnit.SECONDS))
    val tasks = pending?.tasks ?: 0
    val done = pending?.tasksDone
    if (done == null || tasks == 0) {
        val markerPosition = frame % BAR_WIDTH_CHARACTERS
        return "[${".".repeat(markerPosition)}#${".".repeat(BAR_WIDTH_CHARACTERS - markerPosition - 1)}] $seconds"
    }
    val filled = done * BAR_WIDTH_CHARACTERS / tasks
    return "[${"#".repeat(filled)}${".".repeat(BAR_WIDTH_CHARACTERS - filled)}] $done of $tasks tasks done, $seconds"
}
