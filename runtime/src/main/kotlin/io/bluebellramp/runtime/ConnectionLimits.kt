package io.bluebellramp.runtime

import kotlin.time.Duration
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

/**
 * Limits on the connections of an HTTP server.
 *
 * @property connections most connections at once; further ones are closed at once
 * @property request longest time from the first byte of a request until its headers and body are whole
 * @property idle longest time in which a connection has no request under way
 * @property headerBytes most bytes of all headers of a request
 * @property requestLineBytes most bytes of a request's first line
 */
data class ConnectionLimits(
    val connections: Int = 4_096,
    val request: Duration = 15.seconds,
    val idle: Duration = 5.minutes,
    val headerBytes: Int = 16 * 1_024,
    val requestLineBytes: Int = 4 * 1_024,
)
