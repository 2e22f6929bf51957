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
 * The HTTP API for other entries: queries and cancellations of submissions that this entry owns, and answers handed over at shutdown.
 *
 * 200 carries the answer, 202 a [PendingBody], 404 means that this incarnation does not own the id, 410 means that the incarnation is gone.
 */
internal class PeerApi(
    private val runner: EntryCoreRunner,
    private val identity: EntryIdentity,
) {
    /** Adds the routes for other entries. */
    fun Route.peers() {
        get("/peers/submissions/{id}") { call.find() }
        post("/peers/submissions/{id}/cancel") { call.cancel() }
        post("/peers/answers") { call.importAnswers() }
    }

    private suspend fun ApplicationCall.find() {
        if (request.queryParameters["incarnation"] != identity.incarnation.value) return respond(HttpStatusCode.Gone)
        val id = SubmissionId.parse(parameters["id"].orEmpty()) ?: return respond(HttpStatusCode.NotFound)
        val found = runner.withCore { lookup(id).also { if (it == LookupResult.Unknown) releaseUnknown(id) } }
        if (found == LookupResult.Unknown || found == LookupResult.Pending(isRemote = true)) return respond(HttpStatusCode.NotFound)
        if (found is LookupResult.Lost) return respondJson(HttpStatusCode.OK, WireJson.encodeToString(Answer.serializer(), found.answer))
        val reply = runner.find(id) ?: return respond(HttpStatusCode.NotFound)
        when (val finalReply = reply.awaitUpTo((waitMillis() ?: 0).milliseconds)) {
            null -> respondPending(runner.withCore { progress(id) } ?: PendingBody(id))
            is Reply.Answered -> respondJson(HttpStatusCode.OK, WireJson.encodeToString(Answer.serializer(), finalReply.answer))
            is Reply.Refused -> respond(HttpStatusCode.NotFound)
        }
    }

    private suspend fun ApplicationCall.importAnswers() {
        val body = readBody(MAX_HANDOVER_BYTES) as? BodyResult.Complete ?: return respond(HttpStatusCode.BadRequest)
        val handover =
            try {
                WireJson.decodeFromString(AnswerHandover.serializer(), body.text)
            } catch (_: SerializationException) {
                return respond(HttpStatusCode.BadRequest)
            }
        runner.withCore { now -> importAnswers(handover.answers, now) }
        respond(HttpStatusCode.OK)
    }

    private suspend fun ApplicationCall.cancel() {
        val id = SubmissionId.parse(parameters["id"].orEmpty()) ?: return respond(HttpStatusCode.NotFound)
        val known = runner.withCore { now -> cancel(id, now) }
        respond(if (known) HttpStatusCode.OK else HttpStatusCode.NotFound)
    }

    private companion object {
        /** Largest accepted body of answers from an entry that shuts down. */
        const val MAX_HANDOVER_BYTES = 32L * 1024 * 1024
    }
}
