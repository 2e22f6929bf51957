package io.bluebellramp.agent

import io.bluebellramp.core.Address
import io.bluebellramp.core.Revision
import kotlin.time.Duration

/** The state of an agent at one moment, for metrics and the shell. */
internal data class AgentView(
    val tasksRunning: Int,
    val tasksQueued: Int,
    val requestsRunning: Int,
    val slots: Int,
    val permit: PermitState,
    val permitLeft: Duration,
    val revision: Revision,
    val taskTime: Duration?,
    val entries: List<Address>,
    val ledgerTasks: Int,
    val ledgerBytes: Long,
    val outcomesKept: Int,
    val isDrained: Boolean,
)
