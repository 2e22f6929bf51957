package io.bluebellramp.messages

import io.bluebellramp.core.Address
import io.bluebellramp.core.ZoneId
import kotlinx.serialization.Serializable

/** Settings of a process that discovers the others through seed addresses. */
@Serializable
data class NodeSettings(
    /** Name of the VM. */
    val node: String,
    val zone: ZoneId,
    /** IP address of the VM. */
    val host: String,
    /** Operator addresses of some control processes. The ports are the same on all VMs. */
    val seeds: List<Address>,
    /** First port for connections between processes. */
    val firstPort: Int,
    /** Last port for connections between processes. */
    val lastPort: Int,
    /** All availability zones of the deployment. */
    val zones: List<ZoneId> = emptyList(),
    /** Address for callers. Empty if the process serves none. */
    val callers: String = "",
    /** Address of the readiness check. Empty if the process has none. */
    val readiness: String = "",
    /** Address for operators or for the target of this VM. Empty if the process serves none. */
    val operators: String = "",
    /** Address at which the target of this VM accepts calls. Empty if there is none. */
    val target: String = "",
    /** Address of the metrics. Empty if the process serves none. */
    val metrics: String = "",
    /** Folder for the replicated log and the snapshots of a control process. */
    val dataFolder: String = "",
    /** True only when the whole system starts for the first time. */
    val founding: Boolean = false,
    /** Number of control processes that may be lost with their disks at the same time. */
    val toleratedLosses: Int = 1,
    /** Time from SIGTERM until the process is killed (s). */
    val stopSeconds: Double = 6.0,
    /** Maximum duration of a lease that a target grants (ms). */
    val longestLeaseMillis: Long = 1000,
    /** Share of a core that the VM has. 0 if it is unknown. */
    val processorShare: Double = 0.0,
)
