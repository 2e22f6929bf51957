package io.bluebellramp.cli

import io.bluebellramp.core.SubmissionId
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.TimeSource

private val FIRST_LINE_AFTER = 1000.milliseconds
private val INTERVAL = 200.milliseconds
private const val WIDTH = 20

/** Runs [block] and shows on a terminal how long a submission has been waited for, once that takes more than a second. */
internal suspend fun <T> waitingBar(
    submission: SubmissionId,
    show: Boolean,
    block: suspend () -> T,
): T =
    coroutineScope {
        val bar = if (show && System.console() != null) launch { draw(submission) } else null
        try {
            block()
        } finally {
            bar?.let {
                it.cancel()
                System.err.print("\r\u001B[K")
            }
        }
    }

private suspend fun draw(submission: SubmissionId) {
    val start = TimeSource.Monotonic.markNow()
    delay(FIRST_LINE_AFTER)
    var step = 0
    while (true) {
        val place = step++ % WIDTH
        val track = ".".repeat(place) + "#" + ".".repeat(WIDTH - place - 1)
        System.err.print("\r[$track] %.1f s  $submission".format(start.elapsedNow().inWholeMilliseconds / 1000.0))
        delay(INTERVAL)
    }
}
