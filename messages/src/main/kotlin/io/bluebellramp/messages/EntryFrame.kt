package io.bluebellramp.messages

import kotlinx.serialization.Serializable

/** What an entry sends to an agent. */
@Serializable
data class EntryFrame(
    val hello: EntryHello? = null,
    val permit: Permit? = null,
    val demand: Demand? = null,
    val returned: Credits? = null,
    /** Work against credits. */
    val dispatches: List<Dispatch> = emptyList(),
    /** Attempts that must not start any more. The agent answers each with an outcome. */
    val cancels: List<TaskReference> = emptyList(),
    /** Attempts whose outcome the entry lacks after a broken connection. One that is not in the ledger is fenced and answered not run. */
    val inquiries: List<TaskReference> = emptyList(),
    /** Outcomes received on this connection in all. The agent forgets their results. */
    val received: Long? = null,
)
