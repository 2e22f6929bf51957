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

private val FIRST_LINE_AFTER = 1000.milliseconds
private val INTERVAL = 200.milliseconds
private const val WIDTH = 20

/**
 * Runs [block] and shows on a terminal how far a submission is, once that takes more than a second.
 *
 * @param progress asks how many tasks are done; null if that is not known at the moment
 */
internal suspend fun <T> progressBar(
    submission: SubmissionId,
    show: Boolean,
    progress: suspend () -> PendingBody?,
    block: suspend () -> T,
): T =
    coroutineScope {
        val bar = if (show && System.console() != null) launch { draw(submission, progress) } else null
        try {
            block()
        } finally {
            bar?.let {
                it.cancel()
                System.err.print("\r\u001B[K")
            }
        }
    }

private suspend fun draw(
    submission: SubmissionId,
    progress: suspend () -> PendingBody?,
) {
    val start = TimeSource.Monotonic.markNow()
    delay(FIRST_LINE_AFTER)
    var step = 0
    while (true) {
        System.err.print("\r\u001B[K${progressLine(progress(), step++, start.elapsedNow())}  $submission")
        delay(INTERVAL)
    }
}

/** The bar with the tasks done and the time, or with a mark that moves with [step] while nobody says how many are done. */
internal fun progressLine(
    pending: PendingBody?,
    step: Int,
    elapsed: Duration,
): String {
    val seconds = "%.1f s".format(elapsed.toDouble(DurationUnit.SECONDS))
    val tasks = pending?.tasks ?: 0
    val done = pending?.tasksDone
    if (done == null || tasks == 0) {
        val place = step % WIDTH
        return "[${".".repeat(place)}#${".".repeat(WIDTH - place - 1)}] $seconds"
    }
    val filled = done * WIDTH / tasks
    return "[${"#".repeat(filled)}${".".repeat(WIDTH - filled)}] $done of $tasks tasks done, $seconds"
}
