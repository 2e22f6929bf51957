package io.bluebellramp.messages

import io.bluebellramp.core.ServiceId
import kotlinx.serialization.Serializable

/** What an agent can run. */
@Serializable
data class RoomReport(
    /** True if new tasks may start. */
    val accepting: Boolean,
    val service: ServiceId? = null,
    /** Processor capacity (thousandths of a core). */
    val milliCpu: Int = 0,
    /** Memory capacity (MB). */
    val memoryMb: Int = 0,
    /** Processor capacity that is not in use (thousandths of a core). */
    val freeMilliCpu: Int = 0,
    /** Memory that is not in use (MB). */
    val freeMemoryMb: Int = 0,
    /** Work that waits, by queue, in the order in which the queues get the next free room. */
    val waiting: List<QueueWork> = emptyList(),
    /** Run time over the estimate for recent tasks. */
    val slowness: Double = 1.0,
    /** Share of recent tasks that failed or stood still. */
    val failing: Double = 0.0,
    /** Tasks received from this entry on this link. */
    val received: Long = 0,
)
