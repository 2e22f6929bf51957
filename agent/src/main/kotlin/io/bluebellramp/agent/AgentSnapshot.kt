package io.bluebellramp.agent

import io.bluebellramp.core.Address
import io.bluebellramp.core.Revision
import kotlin.time.Duration

/** The state of an agent at one moment, for its metrics and the process around [AgentCore]. */
internal data class AgentSnapshot(
    val tasksRunning: Int,
    val tasksQueued: Int,
    val requestsRunning: Int,
    val slots: Int,
    val permitState: PermitState,
    val permitTimeLeft: Duration,
    val revision: Revision,
    val taskTimeout: Duration?,
    val entries: List<Address>,
    val ledgerTasks: Int,
    val ledgerBytes: Long,
    val pendingOutcomes: Int,
    val isDrained: Boolean,
)
