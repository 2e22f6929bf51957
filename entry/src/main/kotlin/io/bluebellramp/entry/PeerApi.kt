package io.bluebellramp.entry

import io.bluebellramp.core.SubmissionId
import io.bluebellramp.core.WireJson
import io.bluebellramp.messages.Answer
import io.bluebellramp.messages.AnswerHandover
import io.bluebellramp.messages.PendingBody
import io.bluebellramp.runtime.BodyResult
import io.bluebellramp.runtime.readBody
import io.ktor.http.HttpStatusCode
import io.ktor.server.application.ApplicationCall
import io.ktor.server.response.respond
import io.ktor.server.routing.Route
import io.ktor.server.routing.get
import io.ktor.server.routing.post
import kotlinx.serialization.SerializationException
import kotlin.time.Duration.Companion.milliseconds

/**
 * What other entries ask about submissions that this entry owns, and the answers that they hand over when they end.
 *
 * 200 carries the answer, 202 a [PendingBody], 404 means that this incarnation does not own the id, 410 means that the incarnation is gone.
 */
internal class PeerApi(
    private val shell: EntryShell,
    private val identity: EntryIdentity,
) {
    /** Adds the routes. */
    fun Route.peers() {
        get("/peers/submissions/{id}") { call.find() }
        post("/peers/submissions/{id}/cancel") { call.cancel() }
        post("/peers/answers") { call.adopt() }
    }

    private suspend fun ApplicationCall.find() {
        if (request.queryParameters["incarnation"] != identity.incarnation.value) return respond(HttpStatusCode.Gone)
        val id = SubmissionId.parse(parameters["id"].orEmpty()) ?: return respond(HttpStatusCode.NotFound)
        val found = shell.use { lookup(id).also { if (it == Lookup.Unknown) releaseUnknown(id) } }
        if (found == Lookup.Unknown || found == Lookup.Pending(isFollowing = true)) return respond(HttpStatusCode.NotFound)
        if (found is Lookup.Lost) return respondJson(HttpStatusCode.OK, WireJson.encodeToString(Answer.serializer(), found.answer))
        val reply = shell.find(id) ?: return respond(HttpStatusCode.NotFound)
        when (val whole = reply.awaitUpTo((waitMillis() ?: 0).milliseconds)) {
            null -> respondPending(shell.use { progress(id) } ?: PendingBody(id))
            is Reply.Whole -> respondJson(HttpStatusCode.OK, WireJson.encodeToString(Answer.serializer(), whole.answer))
            is Reply.Refused -> respond(HttpStatusCode.NotFound)
        }
    }

    private suspend fun ApplicationCall.adopt() {
        val body = readBody(HANDOVER_BYTES) as? BodyResult.Whole ?: return respond(HttpStatusCode.BadRequest)
        val handover =
            try {
                WireJson.decodeFromString(AnswerHandover.serializer(), body.text)
            } catch (_: SerializationException) {
                return respond(HttpStatusCode.BadRequest)
            }
        shell.use { now -> adopt(handover.answers, now) }
        respond(HttpStatusCode.OK)
    }

    private suspend fun ApplicationCall.cancel() {
        val id = SubmissionId.parse(parameters["id"].orEmpty()) ?: return respond(HttpStatusCode.NotFound)
        val known = shell.use { now -> cancel(id, now) }
        respond(if (known) HttpStatusCode.OK else HttpStatusCode.NotFound)
    }

    private companion object {
        /** Largest body of answers from an entry that ends (bytes). */
        const val HANDOVER_BYTES = 32L * 1024 * 1024
    }
}
