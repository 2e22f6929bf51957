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
 * The replicated configuration: base file, overlays, and what is out of service.
 *
 * Use [apply] from the log only. Each command is a [ChangeRequest] and each answer a [ChangeResponse]. A change applies whole
 * if it is based on the current revision and the result is valid; then the revision grows by one.
 *
 * @param rememberedChanges how many decided changes are kept to answer a resend
 */
class ConfigurationMachine(
    rememberedChanges: Int = REMEMBERED_CHANGES,
) : StateMachine {
    private val remembered = RememberedChanges(rememberedChanges)
    private val current = MutableStateFlow(EMPTY)

    /** The accepted configuration as of the last applied command. */
    val configuration: StateFlow<ConfigurationView> = current.asStateFlow()

    override fun apply(
        index: Long,
        command: String,
    ): String {
        val request = WireJson.decodeFromString<ChangeRequest>(command)
        return WireJson.encodeToString(ChangeResponse.serializer(), answerTo(request) ?: decide(request))
    }

    /**
     * Returns the answer to [request] if it is already certain, or null if it must be proposed.
     *
     * It is certain if the change was decided before, or if it is based on the current revision and invalid there.
     */
    fun precheck(request: ChangeRequest): ChangeResponse? {
        answerTo(request)?.let { return it }
        val view = current.value
        if (request.basedOn != view.revision) return null
        val violations = ConfigurationRules.violations(request, view, view.with(request))
        return if (violations.isEmpty()) null else view.refusal(request, violations)
    }

    /** Returns the first answer to the change with [id], or null if it is not remembered. */
    fun answer(id: ChangeId): ChangeResponse? = remembered[id]?.response

    override fun snapshot(): String = WireJson.encodeToString(Snapshot(current.value, remembered.all()))

    override fun restore(snapshot: String) {
        val state = WireJson.decodeFromString<Snapshot>(snapshot)
        remembered.replace(state.remembered)
        current.value = state.configuration
    }

    private fun answerTo(request: ChangeRequest): ChangeResponse? {
        val known = remembered[request.change] ?: return null
        if (known.digest == request.digest()) return known.response
        val violation = Violation(path = "$.change", message = "the id ${request.change} was used for another change")
        return current.value.refusal(request, listOf(violation))
    }

    private fun decide(request: ChangeRequest): ChangeResponse {
        val view = current.value
        val next = view.with(request)
        val response =
            if (request.basedOn != view.revision) {
                view.conflict(request)
            } else {
                val violations = ConfigurationRules.violations(request, view, next)
                if (violations.isEmpty()) accepted(request, next.revision) else view.refusal(request, violations)
            }
        remembered.add(RememberedChange(response, request.digest(), request.author))
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
            winner = remembered.winner(request.basedOn.next()),
        )

    private fun ConfigurationView.refusal(
        request: ChangeRequest,
        violations: List<Violation>,
    ) = ChangeResponse(change = request.change, outcome = ChangeOutcome.INVALID, revision = revision, violations = violations)

    private fun ConfigurationView.with(request: ChangeRequest) =
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
        val remembered: List<RememberedChange>,
    )

    /** The configuration before any change. */
    companion object {
        private const val REMEMBERED_CHANGES = 10_000

        /** An empty base file at revision 0. */
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
