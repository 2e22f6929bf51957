package io.bluebellramp.control

import io.bluebellramp.core.ChangeId
import io.bluebellramp.core.Revision
import io.bluebellramp.core.WireJson
import io.bluebellramp.messages.ChangeOutcome
import io.bluebellramp.messages.ChangeRequest
import io.bluebellramp.messages.ChangeResponse
import io.bluebellramp.messages.ConfigurationView
import io.bluebellramp.messages.Violation
import io.bluebellramp.replication.StateMachine
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.StateFlow
import kotlinx.coroutines.flow.asStateFlow
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.JsonObject

/**
 * State machine of the replicated configuration: base file, overlays, and the zones and targets out of service.
 *
 * Only the log may call [apply]. Each command is a [ChangeRequest] and each result a [ChangeResponse], both as JSON. A change applies
 * atomically if it is based on the current revision and the result is valid; the revision then increases by one.
 *
 * @param maxDecidedChanges how many decided changes are kept to answer resent requests
 */
class ConfigurationStateMachine(
    maxDecidedChanges: Int = MAX_DECIDED_CHANGES,
) : StateMachine {
    private val decidedChanges = DecidedChanges(maxDecidedChanges)
    private val current = MutableStateFlow(EMPTY)

    /** The accepted configuration after the last applied command. */
    val configuration: StateFlow<ConfigurationView> = current.asStateFlow()

    override fun apply(
        index: Long,
        command: String,
    ): String {
        val request = WireJson.decodeFromString<ChangeRequest>(command)
        return WireJson.encodeToString(ChangeResponse.serializer(), previousAnswer(request) ?: decide(request))
    }

    /**
     * Returns the response to [request] if it is known without a proposal, or null if the change must be proposed.
     *
     * It is known if the change was decided before, or if it is based on the current revision and invalid.
     */
    fun precheck(request: ChangeRequest): ChangeResponse? {
        previousAnswer(request)?.let { return it }
        val view = current.value
        if (request.basedOn != view.revision) return null
        val violations = ConfigurationValidator.violations(request, view, view.withChange(request))
        return if (violations.isEmpty()) null else view.refusal(request, violations)
    }

    /** Returns the first response to the change with [id], or null if it is no longer kept. */
    fun answer(id: ChangeId): ChangeResponse? = decidedChanges[id]?.response

    override fun snapshot(): String = WireJson.encodeToString(Snapshot(current.value, decidedChanges.all()))

    override fun restore(snapshot: String) {
        val state = WireJson.decodeFromString<Snapshot>(snapshot)
        decidedChanges.replace(state.remembered)
        current.value = state.configuration
    }

    private fun previousAnswer(request: ChangeRequest): ChangeResponse? {
        val earlier = decidedChanges[request.change] ?: return null
        if (earlier.digest == request.digest()) return earlier.response
        val violation = Violation(path = "$.change", message = "the id ${request.change} was used for another change")
        return current.value.refusal(request, listOf(violation))
    }

    private fun decide(request: ChangeRequest): ChangeResponse {
        val view = current.value
        val next = view.withChange(request)
        val response =
            if (request.basedOn != view.revision) {
                view.conflict(request)
            } else {
                val violations = ConfigurationValidator.violations(request, view, next)
                if (violations.isEmpty()) accepted(request, next.revision) else view.refusal(request, violations)
            }
        decidedChanges.add(DecidedChange(response, request.digest(), request.author))
        if (response.outcome == ChangeOutcome.ACCEPTED) current.value = next
        return response
    }

    private fun accepted(
        request: ChangeRequest,
        revision: Revision,
    ) = ChangeResponse(change = request.change, outcome = ChangeOutcome.ACCEPTED, revision = revision)

    private fun ConfigurationView.conflict(request: ChangeRequest) =
        ChangeResponse(
            change = request.change,
            outcome = ChangeOutcome.CONFLICT,
            revision = revision,
            winner = decidedChanges.winner(request.basedOn.next()),
        )

    private fun ConfigurationView.refusal(
        request: ChangeRequest,
        violations: List<Violation>,
    ) = ChangeResponse(change = request.change, outcome = ChangeOutcome.INVALID, revision = revision, violations = violations)

    private fun ConfigurationView.withChange(request: ChangeRequest) =
        ConfigurationView(
            revision = revision.next(),
            base = request.base ?: base,
            overlays = (overlays + request.overlays).filterValues { it.isNotEmpty() },
            zonesOut = (zonesOut + request.zonesOut - request.zonesIn.toSet()).distinct(),
            targetsOut = (targetsOut + request.targetsOut - request.targetsIn.toSet()).distinct(),
        )

    @Serializable
    private data class Snapshot(
        val configuration: ConfigurationView,
        val remembered: List<DecidedChange>,
    )

    /** Holds the initial configuration. */
    companion object {
        private const val MAX_DECIDED_CHANGES = 10_000

        /** The configuration before any change: an empty base file at revision 0. */
        val EMPTY =
            ConfigurationView(
                revision = Revision.ZERO,
                base = JsonObject(mapOf("services" to JsonObject(emptyMap()), "sites" to JsonObject(emptyMap()))),
                overlays = emptyMap(),
                zonesOut = emptyList(),
                targetsOut = emptyList(),
            )
    }
}
