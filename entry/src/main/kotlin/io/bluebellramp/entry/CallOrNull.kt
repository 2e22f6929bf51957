package io.bluebellramp.entry

import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.withTimeoutOrNull
import kotlin.time.Duration

/** Runs a call to another process. Returns null if it fails or exceeds [timeout]; the call may have had an effect even then. */
internal suspend fun <T> callOrNull(
    timeout: Duration,
    call: suspend () -> T,
): T? =
    try {
        withTimeoutOrNull(timeout) { call() }
    } catch (e: CancellationException) {
        throw e
    } catch (_: Exception) {
        null
    }
