package io.bluebellramp.messages

import io.bluebellramp.core.Address
import io.bluebellramp.core.ZoneId
import kotlinx.serialization.Serializable

/** Settings of a process that finds the others from seeds. */
@Serializable
data class NodeSettings(
    /** Name of the VM. */
    val node: String,
    val zone: ZoneId,
    /** IP number of the VM. */
    val host: String,
    /** Operators' addresses of some control processes. Ports are the same on all VMs. */
    val seeds: List<Address>,
    /** First port for links between processes. */
    val firstPort: Int,
    /** Last port for links between processes. */
    val lastPort: Int,
    /** All availability zones of the deployment. */
    val zones: List<ZoneId> = emptyList(),
    /** Where callers connect. Empty if the process serves none. */
    val callers: String = "",
    /** Where readiness is asked for. Empty if the process has none. */
    val readiness: String = "",
    /** Where operators or the target of this VM connect. Empty if the process serves none. */
    val operators: String = "",
    /** Where the target of this VM accepts calls. Empty if there is none. */
    val target: String = "",
    /** Where metrics are served. Empty serves none. */
    val metrics: String = "",
    /** Folder of the log and snapshots of a control process. */
    val dataFolder: String = "",
    /** True only when the whole system starts for the first time. */
    val founding: Boolean = false,
    /** Control processes that may be lost with their disks at the same moment. */
    val toleratedLosses: Int = 1,
    /** Time from SIGTERM until the process is killed (s). */
    val stopSeconds: Double = 6.0,
    /** Longest lease that a target grants (ms). */
    val longestLeaseMillis: Long = 1000,
)
