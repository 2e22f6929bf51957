package io.bluebellramp.messages

import io.bluebellramp.core.ServiceId
import kotlinx.serialization.Serializable

/** The capacity and the load of an agent. */
@Serializable
data class RoomReport(
    /** True if new tasks may start. */
    val accepting: Boolean,
    val service: ServiceId? = null,
    /** Kind of the target; empty if it is not known. */
    val kind: String = "",
    /** CPU capacity (thousandths of a core). */
    val milliCpu: Int = 0,
    /** Memory capacity (MB). */
    val memoryMb: Int = 0,
    /** CPU capacity that is not in use (thousandths of a core). */
    val freeMilliCpu: Int = 0,
    /** Memory that is not in use (MB). */
    val freeMemoryMb: Int = 0,
    /** Waiting work by queue. The order is the one in which the queues get free capacity. */
    val waiting: List<QueueWork> = emptyList(),
    /** Ratio of run time to estimate for recent tasks. */
    val slowness: Double = 1.0,
    /** Fraction of recent tasks that failed or stalled. */
    val failing: Double = 0.0,
    /** Number of tasks received from this entry on this connection. */
    val received: Long = 0,
)
