package io.bluebellramp.runtime

import kotlin.time.Duration
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

/**
 * Limits on the connections of an HTTP server.
 *
 * @property maxConnections highest number of connections at the same time; further ones are closed immediately
 * @property request time limit from the first byte of a request until its headers and body have arrived completely
 * @property idleTimeout time after which a connection without a request in progress is closed
 * @property headerBytes maximum size of all headers of a request together (bytes)
 * @property maxRequestLineBytes maximum size of the first line of a request (bytes)
 */
data class ConnectionLimits(
    val maxConnections: Int = 4_096,
    val request: Duration = 15.seconds,
    val idleTimeout: Duration = 5.minutes,
    val headerBytes: Int = 16 * 1_024,
    val maxRequestLineBytes: Int = 4 * 1_024,
)
