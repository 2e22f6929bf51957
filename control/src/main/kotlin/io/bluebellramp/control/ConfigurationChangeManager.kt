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

/** Result of submitting a configuration change. */
sealed interface ChangeResult {
    /** The change was accepted or rejected; [response] is the first response to it. */
    data class Decided(
        val response: ChangeResponse,
    ) : ChangeResult

    /** This member is not the leader; nothing was proposed. */
    data object NotLeader : ChangeResult

    /** Leadership was lost during the call, so the outcome is unknown. Resending with the same change id returns it. */
    data object Unknown : ChangeResult
}

/** Proposes configuration changes to the replicated log and reports when they are in force. Thread-safe. */
class ConfigurationChangeManager(
    private val log: ReplicatedLog,
    private val machine: ConfigurationStateMachine,
    private val leases: LeaseManager,
    private val clock: Clock,
) {
    /** Submits [request]. If [wait] is true, waits for a limited time until an accepted change is in force. */
    suspend fun submit(
        request: ChangeRequest,
        wait: Boolean,
    ): ChangeResult {
        val submittedAt = clock.monotonic()
        val response =
            machine.precheck(request) ?: when (val result = log.propose(WireJson.encodeToString(request))) {
                is ProposalResult.Applied -> WireJson.decodeFromString<ChangeResponse>(result.answer)
                is ProposalResult.NotLeader -> return ChangeResult.NotLeader
                is ProposalResult.Refused, ProposalResult.Unknown -> return ChangeResult.Unknown
            }
        val decidedAt = clock.monotonic()
        response.logOutcome(request)
        val timedResponse = response.copy(acceptedMillis = (decidedAt - submittedAt).toDouble(DurationUnit.MILLISECONDS))
        if (!wait || response.outcome != ChangeOutcome.ACCEPTED) return ChangeResult.Decided(timedResponse.withInForce())
        val isInForce = awaitInForce(response.revision)
        val waitedMillis = (clock.monotonic() - decidedAt).toDouble(DurationUnit.MILLISECONDS)
        return ChangeResult.Decided(timedResponse.copy(inForce = isInForce, inForceMillis = waitedMillis.takeIf { isInForce }))
    }

    /** Returns the first response to the change with [id] and whether it is in force now, or null if the change is unknown. */
    fun find(id: ChangeId): ChangeResponse? = machine.answer(id)?.withInForce()

    /** Waits until [revision] is in force; returns false if that takes longer than [MAX_IN_FORCE_WAIT]. */
    private suspend fun awaitInForce(revision: Revision): Boolean =
        withTimeoutOrNull(MAX_IN_FORCE_WAIT) {
            while (!isInForce(revision)) delay(IN_FORCE_POLL_INTERVAL)
            true
        } ?: false

    private fun ChangeResponse.withInForce() = copy(inForce = outcome == ChangeOutcome.ACCEPTED && isInForce(revision))

    private fun isInForce(revision: Revision) = leases.revisionInForce().let { it != null && it >= revision }

    private fun ChangeResponse.logOutcome(request: ChangeRequest) {
        val reason = "${request.change} by ${request.author ?: "unnamed"} based on ${request.basedOn}"
        logDecision(Decision(kind = "change_${outcome.name.lowercase()}", reason = reason, fields = mapOf("revision" to revision)))
    }

    private companion object {
        val MAX_IN_FORCE_WAIT: Duration = 3300.milliseconds
        val IN_FORCE_POLL_INTERVAL = 5.milliseconds
    }
}
