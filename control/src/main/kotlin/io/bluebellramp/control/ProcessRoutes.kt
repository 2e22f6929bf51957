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
import io.ktor.server.request.receive
import io.ktor.server.response.respond
import io.ktor.server.routing.Route
import io.ktor.server.routing.RoutingContext
import io.ktor.server.routing.get
import io.ktor.server.routing.post

/** Calls of entries: leases and claims. */
internal fun Route.entryRoutes(control: Control) {
    post("/leases") { call.respond(control.leases.answer(call.receive<LeaseRequest>())) }
    post("/claims") {
        val request = call.receive<ClaimRequest>()
        val response = control.claims.claim(request)
        request.claims
            .zip(response.verdicts)
            .filter { (claim, verdict) ->
                claim.takeover != null && verdict.granted
            }.forEach { (claim, _) ->
                val fields = mapOf("submission" to claim.submission, "entry" to request.holder.entry)
                logDecision(Decision(kind = "claim_takeover", reason = "owner ${claim.takeover} is gone", fields = fields))
            }
        call.respond(response)
    }
    post("/claims/release") {
        control.claims.release(call.receive<ClaimRelease>())
        call.respond(HttpStatusCode.NoContent)
    }
}

/** Calls of other members: the log and copies of claims. */
internal fun Route.memberRoutes(control: Control) {
    post("/log/vote") { call.respond(control.log.onVote(call.receive<VoteRequest>())) }
    post("/log/append") { call.respond(control.log.onAppend(call.receive<AppendRequest>())) }
    post("/log/snapshot") { call.respond(control.log.onSnapshot(call.receive<SnapshotRequest>())) }
    get("/claims/table") {
        call.respond(
            control.claims.copy(
                copyNeed(),
                call.request.queryParameters["from"]?.toLongOrNull() ?: Long.MIN_VALUE,
            ),
        )
    }
}

private fun RoutingContext.copyNeed(): CopyNeed {
    val name = call.request.queryParameters["need"]
    return CopyNeed.entries.find { it.name.equals(name, ignoreCase = true) } ?: CopyNeed.WHOLE
}
