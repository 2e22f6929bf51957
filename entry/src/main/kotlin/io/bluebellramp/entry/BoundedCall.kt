package io.bluebellramp.entry

import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.withTimeoutOrNull
import kotlin.time.Duration

/** Runs a call to another process. Returns null if it fails or takes longer than [time]; whether it had an effect is then unknown. */
internal suspend fun <T> boundedCall(
    time: Duration,
    call: suspend () -> T,
): T? =
    try {
        withTimeoutOrNull(time) { call() }
    } catch (e: CancellationException) {
        throw e
    } catch (_: Exception) {
        null
    }
