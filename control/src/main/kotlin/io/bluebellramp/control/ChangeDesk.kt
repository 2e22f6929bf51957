package io.bluebellramp.control

import io.bluebellramp.core.ChangeId
import io.bluebellramp.core.Clock
import io.bluebellramp.core.Revision
import io.bluebellramp.core.WireJson
import io.bluebellramp.messages.ChangeOutcome
import io.bluebellramp.messages.ChangeRequest
import io.bluebellramp.messages.ChangeResponse
import io.bluebellramp.replication.ProposalResult
import io.bluebellramp.replication.ReplicatedLog
import io.bluebellramp.runtime.Decision
import io.bluebellramp.runtime.logDecision
import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeoutOrNull
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.DurationUnit

/** What came of submitting a change. */
sealed interface ChangeResult {
    /** The change was decided; [response] is the first answer to it. */
    data class Decided(
        val response: ChangeResponse,
    ) : ChangeResult

    /** This member does not lead; nothing was proposed. */
    data object NotLeader : ChangeResult

    /** Leadership was lost under way. A resend under the same change id finds out. */
    data object Unknown : ChangeResult
}

/** Takes changes of the configuration to the log and tells when they are in force. Safe for concurrent use. */
class ChangeDesk(
    private val log: ReplicatedLog,
    private val machine: ConfigurationMachine,
    private val leases: LeaseDesk,
    private val clock: Clock,
) {
    /** Submits [request] and, if [wait] is true, waits a bounded time until an accepted change is in force. */
    suspend fun submit(
        request: ChangeRequest,
        wait: Boolean,
    ): ChangeResult {
        val called = clock.monotonic()
        val response =
            machine.precheck(request) ?: when (val result = log.propose(WireJson.encodeToString(request))) {
                is ProposalResult.Applied -> WireJson.decodeFromString<ChangeResponse>(result.answer)
                is ProposalResult.NotLeader -> return ChangeResult.NotLeader
                is ProposalResult.Refused, ProposalResult.Unknown -> return ChangeResult.Unknown
            }
        val decided = clock.monotonic()
        response.log(request)
        val timed = response.copy(acceptedMillis = (decided - called).toDouble(DurationUnit.MILLISECONDS))
        if (!wait || response.outcome != ChangeOutcome.ACCEPTED) return ChangeResult.Decided(timed.withForce())
        val isInForce = awaitInForce(response.revision)
        val waited = (clock.monotonic() - decided).toDouble(DurationUnit.MILLISECONDS)
        return ChangeResult.Decided(timed.copy(inForce = isInForce, inForceMillis = waited.takeIf { isInForce }))
    }

    /** Returns the first answer to the change with [id] and whether it is in force now, or null if it is unknown. */
    fun find(id: ChangeId): ChangeResponse? = machine.answer(id)?.withForce()

    /** Waits a bounded time and tells whether [revision] is in force. */
    private suspend fun awaitInForce(revision: Revision): Boolean =
        withTimeoutOrNull(LONGEST_WAIT) {
            while (!isInForce(revision)) delay(CHECK_PERIOD)
            true
        } ?: false

    private fun ChangeResponse.withForce() = copy(inForce = outcome == ChangeOutcome.ACCEPTED && isInForce(revision))

    private fun isInForce(revision: Revision) = leases.revisionInForce().let { it != null && it >= revision }

    private fun ChangeResponse.log(request: ChangeRequest) {
        val reason = "${request.change} by ${request.author ?: "unnamed"} based on ${request.basedOn}"
        logDecision(Decision(kind = "change_${outcome.name.lowercase()}", reason = reason, fields = mapOf("revision" to revision)))
    }

    private companion object {
        val LONGEST_WAIT: Duration = 3300.milliseconds
        val CHECK_PERIOD = 5.milliseconds
    }
}
