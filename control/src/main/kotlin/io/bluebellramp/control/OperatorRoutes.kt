package io.bluebellramp.control

import io.bluebellramp.core.ChangeId
import io.bluebellramp.messages.ChangeRequest
import io.bluebellramp.messages.ErrorCode
import io.bluebellramp.messages.MembershipRequest
import io.bluebellramp.replication.ProposalResult
import io.bluebellramp.runtime.Decision
import io.bluebellramp.runtime.logDecision
import io.ktor.http.HttpStatusCode
import io.ktor.server.application.ApplicationCall
import io.ktor.server.response.respond
import io.ktor.server.routing.Route
import io.ktor.server.routing.get
import io.ktor.server.routing.post
import kotlinx.serialization.KSerializer

/** The operators' API. A member that is not the leader forwards each call to the leader. */
internal fun Route.operatorRoutes(
    control: Control,
    forwarder: LeaderForwarder,
) {
    get("/v1/config") {
        if (control.log.holdsLeaderLease()) call.respond(control.machine.configuration.value) else forwarder.forward(call)
    }
    get("/v1/status") {
        val isLocal = control.log.holdsLeaderLease() || call.flag("local")
        if (isLocal || !forwarder.tryForward(call)) call.respond(control.status())
    }
    post("/v1/changes") {
        call.receiveAsLeader(control, forwarder, "ChangeRequest", ChangeRequest.serializer()) { request, body ->
            call.respondTo(control.changes.submit(request, wait = call.flag("wait")), forwarder, body)
        }
    }
    get("/v1/changes/{id}") {
        if (control.log.holdsLeaderLease()) call.respondChange(control) else forwarder.forward(call)
    }
    post("/v1/members") {
        call.receiveAsLeader(control, forwarder, "MembershipRequest", MembershipRequest.serializer()) { request, body ->
            call.respondTo(request, control, forwarder, body)
        }
    }
}

/** Decodes the body and calls [handle] if this member leads; otherwise forwards the call to the leader. */
private suspend fun <T> ApplicationCall.receiveAsLeader(
    control: Control,
    forwarder: LeaderForwarder,
    type: String,
    serializer: KSerializer<T>,
    handle: suspend (T, ByteArray) -> Unit,
) {
    val text = receiveText(MAX_OPERATOR_BODY_BYTES) ?: return
    val body = text.toByteArray()
    if (!control.log.holdsLeaderLease()) return forwarder.forward(this, body)
    when (val result = decodeStrictly(text, type, serializer)) {
        is DecodedBody.Valid -> {
            handle(result.value, body)
        }

        is DecodedBody.Invalid -> {
            respondError(HttpStatusCode.BadRequest, ErrorCode.INVALID_BODY, "The body is not a $type.", result.violations)
        }
    }
}

private suspend fun ApplicationCall.respondTo(
    result: ChangeResult,
    forwarder: LeaderForwarder,
    body: ByteArray,
) = when (result) {
    is ChangeResult.Decided -> respond(result.response)
    ChangeResult.NotLeader -> forwarder.forward(this, body)
    ChangeResult.Unknown -> respondOutcomeUnknown()
}

private suspend fun ApplicationCall.respondTo(
    request: MembershipRequest,
    control: Control,
    forwarder: LeaderForwarder,
    body: ByteArray,
) = when (val result = control.log.changeMembership(request)) {
    is ProposalResult.Applied -> {
        logDecision(Decision(kind = "membership_${request.action.name.lowercase()}", reason = "member ${request.member}"))
        respond(control.status())
    }

    is ProposalResult.NotLeader -> {
        forwarder.forward(this, body)
    }

    is ProposalResult.Refused -> {
        respondError(HttpStatusCode.Conflict, ErrorCode.MEMBERSHIP_REFUSED, result.reason)
    }

    ProposalResult.Unknown -> {
        respondOutcomeUnknown()
    }
}

private suspend fun ApplicationCall.respondChange(control: Control) {
    val id = ChangeId(parameters["id"].orEmpty())
    val response = control.changes.find(id)
    when {
        response != null -> respond(response)
        control.log.holdsLeaderLease() -> respondError(HttpStatusCode.NotFound, ErrorCode.NOT_FOUND, "No change $id is remembered.")
        else -> respondNoLeader()
    }
}

private fun ApplicationCall.flag(name: String) = request.queryParameters[name] == "true"
