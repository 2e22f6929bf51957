package io.bluebellramp.messages

import kotlinx.serialization.Serializable

/** A frame from an entry to an agent. */
@Serializable
data class EntryFrame(
    val hello: EntryHello? = null,
    val permit: Permit? = null,
    val demand: Demand? = null,
    val returned: Credits? = null,
    /** Attempts to run. Each uses one credit. */
    val dispatches: List<Dispatch> = emptyList(),
    /** Attempts that must not start any more. The agent reports an outcome for each. */
    val cancels: List<TaskReference> = emptyList(),
    /** Attempts whose outcome the entry does not know after a lost connection. An attempt that is not in the ledger of the agent is fenced and reported as not run. */
    val inquiries: List<TaskReference> = emptyList(),
    /** Total number of outcomes received on this connection. The agent may discard their results. */
    val received: Long? = null,
)
