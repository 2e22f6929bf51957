package io.bluebellramp.control

import io.bluebellramp.messages.AppendRequest
import io.bluebellramp.messages.ClaimRelease
import io.bluebellramp.messages.ClaimRequest
import io.bluebellramp.messages.LeaseRequest
import io.bluebellramp.messages.SnapshotRequest
import io.bluebellramp.messages.VoteRequest
import io.bluebellramp.runtime.Decision
import io.bluebellramp.runtime.logDecision
import io.ktor.http.HttpStatusCode
import io.ktor.server.response.respond
import io.ktor.server.routing.Route
import io.ktor.server.routing.RoutingContext
import io.ktor.server.routing.get
import io.ktor.server.routing.post

/** Routes for entries: leases and claims. */
internal fun Route.entryRoutes(control: Control) {
    postJson<LeaseRequest>("/leases", MAX_SMALL_BODY_BYTES) { call.respondJson(control.leases.answer(it)) }
    postJson<ClaimRequest>("/claims", MAX_CLAIMS_BODY_BYTES) { request ->
        val response = control.claims.claim(request)
        request.claims
            .zip(response.verdicts)
            .filter { (claim, verdict) ->
                claim.takeover != null && verdict.granted
            }.forEach { (claim, _) ->
                val fields = mapOf("submission" to claim.submission, "entry" to request.holder.entry)
                logDecision(Decision(kind = "claim_takeover", reason = "owner ${claim.takeover} is gone", fields = fields))
            }
        call.respondJson(response)
    }
    postJson<ClaimRelease>("/claims/release", MAX_CLAIMS_BODY_BYTES) {
        control.claims.release(it)
        call.respond(HttpStatusCode.NoContent)
    }
}

/** Routes for other members: log replication and copies of claims. */
internal fun Route.memberRoutes(control: Control) {
    postJson<VoteRequest>("/log/vote", MAX_SMALL_BODY_BYTES) { call.respondJson(control.log.onVote(it)) }
    postJson<AppendRequest>("/log/append", MAX_LOG_BODY_BYTES) { call.respondJson(control.log.onAppend(it)) }
    postJson<SnapshotRequest>("/log/snapshot", MAX_LOG_BODY_BYTES) { call.respondJson(control.log.onSnapshot(it)) }
    get("/claims/table") {
        call.respond(
            control.claims.page(
                requestedCopyRequirement(),
                call.request.queryParameters["from"]?.toLongOrNull() ?: Long.MIN_VALUE,
            ),
        )
    }
}

/** Adds a POST route that decodes a JSON body of at most [maxBodyBytes]. */
private inline fun <reified T> Route.postJson(
    path: String,
    maxBodyBytes: Long,
    crossinline handle: suspend RoutingContext.(T) -> Unit,
) = post(path) { call.receiveJson<T>(maxBodyBytes)?.let { handle(it) } }

private fun RoutingContext.requestedCopyRequirement(): CopyRequirement {
    val name = call.request.queryParameters["need"]
    return CopyRequirement.entries.find { it.name.equals(name, ignoreCase = true) } ?: CopyRequirement.WHOLE
}
