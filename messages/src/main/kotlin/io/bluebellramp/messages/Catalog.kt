package io.bluebellramp.messages

import io.bluebellramp.core.ServiceId
import kotlinx.serialization.Serializable

/** Queues and services as an operator numbered them. */
@Serializable
data class Catalog(
    /** Number that the operator gave this catalog. The highest is in force. */
    val number: Long,
    /** SHA-256 of the document in hexadecimal digits. */
    val digest: String,
    /** Queues by host and path prefix. */
    val queues: List<Queue>,
    /** Names of the services. */
    val services: List<ServiceId>,
    /** Largest body of a call (bytes). */
    val bodyBytes: Int = 262144,
    /** Largest head of a call (bytes). */
    val headerBytes: Int = 16384,
    /** Longest time for a call to arrive (ms). */
    val headerMillis: Long = 3000,
    /** Longest time between calls on a connection (ms). */
    val idleMillis: Long = 15000,
    /** The text as the operator sent it. Empty outside control. */
    val document: String = "",
)
