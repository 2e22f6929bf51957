package io.bluebellramp.messages

import io.bluebellramp.core.ServiceId
import kotlinx.serialization.Serializable

/** The queues and services of the system. An operator gives each version a number. */
@Serializable
data class Catalog(
    /** Number that the operator gave this catalog. The catalog with the highest number is in force. */
    val number: Long,
    /** SHA-256 of the document in hexadecimal digits. */
    val digest: String,
    /** Queues by host and path prefix. */
    val queues: List<Queue>,
    /** Names of the services. */
    val services: List<ServiceId>,
    /** Maximum size of the body of a call (bytes). */
    val bodyBytes: Int = 262144,
    /** Maximum size of the headers of a call (bytes). */
    val headerBytes: Int = 16384,
    /** Maximum time in which a call must arrive (ms). */
    val headerMillis: Long = 3000,
    /** Maximum time between calls on a connection (ms). */
    val idleMillis: Long = 15000,
    /** The document as the operator sent it. Empty outside the control processes. */
    val document: String = "",
)
