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

/** Calls of entries: leases and claims. */
internal fun Route.entryRoutes(control: Control) {
    postJson<LeaseRequest>("/leases", SMALL_BODY_BYTES) { call.respondJson(control.leases.answer(it)) }
    postJson<ClaimRequest>("/claims", CLAIMS_BODY_BYTES) { request ->
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
    postJson<ClaimRelease>("/claims/release", CLAIMS_BODY_BYTES) {
        control.claims.release(it)
        call.respond(HttpStatusCode.NoContent)
    }
}

/** Calls of other members: the log and copies of claims. */
internal fun Route.memberRoutes(control: Control) {
    postJson<VoteRequest>("/log/vote", SMALL_BODY_BYTES) { call.respondJson(control.log.onVote(it)) }
    postJson<AppendRequest>("/log/append", LOG_BODY_BYTES) { call.respondJson(control.log.onAppend(it)) }
    postJson<SnapshotRequest>("/log/snapshot", LOG_BODY_BYTES) { call.respondJson(control.log.onSnapshot(it)) }
    get("/claims/table") {
        call.respond(
            control.claims.copy(
                copyNeed(),
                call.request.queryParameters["from"]?.toLongOrNull() ?: Long.MIN_VALUE,
            ),
        )
    }
}

/** Adds a call with a body of [limit] bytes at most. */
private inline fun <reified T> Route.postJson(
    path: String,
    limit: Long,
    crossinline handle: suspend RoutingContext.(T) -> Unit,
) = post(path) { call.receiveJson<T>(limit)?.let { handle(it) } }

private fun RoutingContext.copyNeed(): CopyNeed {
    val name = call.request.queryParameters["need"]
    return CopyNeed.entries.find { it.name.equals(name, ignoreCase = true) } ?: CopyNeed.WHOLE
}
