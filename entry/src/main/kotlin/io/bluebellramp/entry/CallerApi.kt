package io.bluebellramp.entry

import io.bluebellramp.core.SubmissionId
import io.bluebellramp.core.WireJson
import io.bluebellramp.messages.Answer
import io.bluebellramp.messages.AnswerOutcome
import io.bluebellramp.messages.ErrorBody
import io.bluebellramp.messages.ErrorCode
import io.bluebellramp.messages.PendingBody
import io.bluebellramp.messages.Violation
import io.bluebellramp.runtime.BodyResult
import io.bluebellramp.runtime.readBody
import io.ktor.http.ContentType
import io.ktor.http.HttpHeaders
import io.ktor.http.HttpStatusCode
import io.ktor.server.application.ApplicationCall
import io.ktor.server.response.header
import io.ktor.server.response.respondText
import io.ktor.server.routing.Route
import io.ktor.server.routing.get
import io.ktor.server.routing.post
import io.ktor.util.AttributeKey
import kotlinx.coroutines.Deferred
import kotlinx.coroutines.withTimeoutOrNull
import java.util.concurrent.atomic.AtomicInteger
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

/**
 * The HTTP API for callers.
 *
 * A body with `outcome` is an [Answer] of the owner and final for its id. A caller may resubmit under a new id only after `not_run`. Any
 * other body is an [ErrorBody]: this entry started nothing for the call, and no entry runs a body that was refused with 4xx. After 503 with
 * an [ErrorBody] another entry may own the id, for example if a load balancer sent the call twice, so callers must send the same id again.
 *
 * | status | body | when |
 * | --- | --- | --- |
 * | 200 | `Answer` | `complete`, `failed`, or `not_run` after a cancel or a deadline |
 * | 202 | [PendingBody] | `wait` elapsed before the answer |
 * | 400 | `ErrorBody` | the body is truncated, is not JSON or violates the schema; the id is malformed or its time is in the future |
 * | 404 | `ErrorBody` | unknown service, or an id that no live entry knows |
 * | 408 | `ErrorBody` | headers and body did not arrive in time; the server answers this before routing |
 * | 409 | `ErrorBody` | the id was used with another body |
 * | 410 | `ErrorBody` | the id is too old |
 * | 413 | `ErrorBody` | the body is too large |
 * | 422 | `ErrorBody` | no executor can ever run it |
 * | 429 | `Answer`, `not_run` | the quota of the team is exhausted |
 * | 503 | `Answer`, `not_run` | the queue is full or the deadline can't be met |
 * | 503 | `ErrorBody` | no lease or memory (`not_ready`), shutdown, no majority for the claim, or the owner does not answer |
 */
internal class CallerApi(
    private val runner: EntryCoreRunner,
    private val peers: PeerClient,
    private val parser: SubmissionParser,
    private val metrics: CallMetrics,
    private val bodyBytes: Long,
    private val budget: MemoryBudget,
    private val isShuttingDown: () -> Boolean,
) {
    private val callsInFlight = AtomicInteger()

    /** True if no call is in progress. */
    val isIdle get() = callsInFlight.get() == 0

    /** Adds the routes for callers. */
    fun Route.calls() {
        post("/v1/jobs") { call.countInFlight { submit(parser::parseJob) } }
        post("/v1/requests") { call.countInFlight { submit(parser::parseRequest) } }
        get("/v1/jobs/{id}") { call.countInFlight { find() } }
        post("/v1/jobs/{id}/cancel") { call.countInFlight { cancel() } }
    }

    /** Counts calls in progress. During shutdown the response closes the connection, so that the next call on it is not cut off. */
    private suspend fun ApplicationCall.countInFlight(serve: suspend ApplicationCall.() -> Unit) {
        callsInFlight.incrementAndGet()
        try {
            if (isShuttingDown()) response.header(HttpHeaders.Connection, "close")
            withReservedMemory(serve)
        } finally {
            callsInFlight.decrementAndGet()
        }
    }

    /** Refuses a call for which there is no memory before its body is read, so nothing is started or claimed for it. */
    private suspend fun ApplicationCall.withReservedMemory(serve: suspend ApplicationCall.() -> Unit) {
        val reservation = budget.tryReserve(CALL_OVERHEAD_BYTES + BODY_COPIES * declaredBytes()) ?: return respondError(NO_MEMORY)
        attributes.put(MEMORY_RESERVATION, reservation)
        try {
            serve()
        } finally {
            reservation.close()
        }
    }

    private fun ApplicationCall.declaredBytes(): Long =
        when {
            request.headers[HttpHeaders.TransferEncoding] != null -> bodyBytes
            else -> request.headers[HttpHeaders.ContentLength]?.toLongOrNull()?.coerceIn(0, bodyBytes) ?: 0
        }

    private suspend fun ApplicationCall.submit(parse: (String) -> ParseResult) {
        when (val body = readBody(bodyBytes)) {
            is BodyResult.Complete -> {
                when (val result = parse(body.text)) {
                    is ParseResult.Valid -> accept(result.submission)
                    is ParseResult.Invalid -> respondError(result.error)
                }
            }

            BodyResult.TooLarge -> {
                respondError(errorAt("$", ErrorCode.BODY_TOO_LARGE, "The body must be at most $bodyBytes bytes."))
            }

            BodyResult.Truncated -> {
                respondError(errorAt("$", ErrorCode.INVALID_BODY, "The body is cut short or is not UTF-8."))
            }
        }
    }

    private suspend fun ApplicationCall.accept(submission: SubmissionSpec) {
        val refusal = runner.withCore { now -> checkLimits(submission, now) }
        if (refusal != null) return respondError(refusal.withPath())
        val started = metrics.start()
        attributes[MEMORY_RESERVATION].resize(CALL_OVERHEAD_BYTES)
        val reply = awaitAndRespond(submission.id, runner.submit(submission)) ?: return
        metrics.recordReply(started, submission.kind, reply)
    }

    private suspend fun ApplicationCall.find() {
        val id = id() ?: return respondError(ErrorBody(ErrorCode.INVALID_SUBMISSION, "The id is no UUID version 7 in lower case."))
        val reply = runner.find(id) ?: return findAtPeers(id)
        awaitAndRespond(id, reply)
    }

    private suspend fun ApplicationCall.cancel() {
        val id = id() ?: return respondError(ErrorBody(ErrorCode.INVALID_SUBMISSION, "The id is no UUID version 7 in lower case."))
        val reply = runner.find(id)
        if (reply != null) {
            runner.withCore { now -> cancel(id, now) }
            awaitAndRespond(id, reply)
            return
        }
        val found = peers.cancelAtAllPeers(id)
        if (found == PeerSearchResult.Found) findAtPeers(id, isKnown = true) else respondMissing(id, found)
    }

    /**
     * Answers a call about an id that this entry does not know by asking the other entries.
     *
     * @param isKnown true if some entry is already known to have the id, even if it is not the owner
     */
    private suspend fun ApplicationCall.findAtPeers(
        id: SubmissionId,
        isKnown: Boolean = false,
    ) {
        val wait = waitMillis()?.milliseconds
        val start = TimeSource.Monotonic.markNow()
        while (true) {
            val remaining = wait?.let { (it - start.elapsedNow()).coerceAtLeast(Duration.ZERO) }
            val found = peers.findAtAllPeers(id, minOf(remaining ?: MAX_PEER_WAIT, MAX_PEER_WAIT))
            when {
                found is PeerSearchResult.Answered -> return respondReply(Reply.Answered(found.answer))
                found !is PeerSearchResult.Pending -> return respondMissing(id, if (isKnown) PeerSearchResult.Uncertain else found)
                remaining == Duration.ZERO -> return respondPending(found.body)
            }
        }
    }

    private suspend fun ApplicationCall.respondMissing(
        id: SubmissionId,
        found: PeerSearchResult,
    ) = if (found == PeerSearchResult.Unknown) {
        respondError(ErrorBody(ErrorCode.NOT_FOUND, "No live entry knows $id."))
    } else {
        respondError(ErrorBody(ErrorCode.OWNER_UNREACHABLE, "This entry does not know $id, and another entry did not answer."))
    }

    private suspend fun ApplicationCall.awaitAndRespond(
        id: SubmissionId,
        reply: Deferred<Reply>,
    ): Reply? {
        val wait = waitMillis()
        val finalReply = if (wait == null) reply.await() else reply.awaitUpTo(wait.milliseconds)
        if (finalReply == null) respondPending(progress(id)) else respondReply(finalReply)
        if (finalReply is Reply.Answered) runner.withCore { markFetched(id) }
        return finalReply
    }

    /** Returns the progress reported by the owner, which may be another entry. */
    private suspend fun progress(id: SubmissionId): PendingBody =
        runner.withCore { progress(id) } ?: (peers.findAtAllPeers(id, Duration.ZERO) as? PeerSearchResult.Pending)?.body ?: PendingBody(id)

    private suspend fun ApplicationCall.respondReply(reply: Reply) =
        when (reply) {
            is Reply.Answered -> respondAnswer(reply.answer)
            is Reply.Refused -> respondError(reply.error)
        }

    private suspend fun ApplicationCall.respondAnswer(answer: Answer) {
        val text = WireJson.encodeToString(Answer.serializer(), answer)
        attributes[MEMORY_RESERVATION].resize(CALL_OVERHEAD_BYTES + ANSWER_COPIES * text.length)
        respondJson(answer.httpStatus(), text)
    }

    private suspend fun ApplicationCall.respondError(error: ErrorBody) {
        metrics.recordRefusal(error.code)
        respondJson(error.code.httpStatus(), WireJson.encodeToString(ErrorBody.serializer(), error))
    }

    private fun ApplicationCall.id() = SubmissionId.parse(parameters["id"].orEmpty())

    private companion object {
        /** Longest time that one query lets the other entries wait for the answer. */
        val MAX_PEER_WAIT = 1.seconds
        val MEMORY_RESERVATION = AttributeKey<MemoryBudget.Reservation>("memory")
        val NO_MEMORY =
            ErrorBody(ErrorCode.NOT_READY, "This entry has no memory for more calls. It started nothing. Send the same id again.")

        /** Memory of a call and its connection, without request and response bodies. */
        const val CALL_OVERHEAD_BYTES = 16L * 1024

        /** Copies of a request body in memory while it is read: bytes, text, canonical text and tasks. */
        const val BODY_COPIES = 4

        /** Copies of an answer in memory while it is written: text and bytes. */
        const val ANSWER_COPIES = 2
    }
}

private fun errorAt(
    path: String,
    code: ErrorCode,
    message: String,
) = ErrorBody(code, message, listOf(Violation(path, message)))

/** Adds the path in the body to an error from the core, which does not know the body. */
private fun ErrorBody.withPath() =
    if (code == ErrorCode.UNKNOWN_SERVICE && violations.isEmpty()) errorAt("$.service", code, message) else this

/** The query parameter `wait` (ms), or null if the call waits until the answer is there. */
internal fun ApplicationCall.waitMillis(): Long? = request.queryParameters["wait"]?.toLongOrNull()?.coerceAtLeast(0)

/** Returns the value, or null if it is not available within [timeout]. A completed value is returned even if [timeout] is zero. */
internal suspend fun <T : Any> Deferred<T>.awaitUpTo(timeout: Duration): T? =
    if (isCompleted) await() else withTimeoutOrNull(timeout) { await() }

internal suspend fun ApplicationCall.respondPending(body: PendingBody) =
    respondJson(HttpStatusCode.Accepted, WireJson.encodeToString(PendingBody.serializer(), body))

internal suspend fun ApplicationCall.respondJson(
    status: HttpStatusCode,
    text: String,
) = respondText(text, ContentType.Application.Json, status)

private fun Answer.httpStatus() = if (outcome == AnswerOutcome.NOT_RUN) error?.code.notRunStatus() else HttpStatusCode.OK

private fun ErrorCode?.notRunStatus() =
    when (this) {
        ErrorCode.QUOTA_EXCEEDED -> HttpStatusCode.TooManyRequests
        ErrorCode.QUEUE_FULL, ErrorCode.DEADLINE_UNREACHABLE -> HttpStatusCode.ServiceUnavailable
        else -> HttpStatusCode.OK
    }

internal fun ErrorCode.httpStatus() =
    when (this) {
        ErrorCode.INVALID_BODY, ErrorCode.INVALID_SUBMISSION -> HttpStatusCode.BadRequest
        ErrorCode.NOT_FOUND, ErrorCode.UNKNOWN_SERVICE -> HttpStatusCode.NotFound
        ErrorCode.SUBMISSION_CONFLICT -> HttpStatusCode.Conflict
        ErrorCode.EXPIRED_SUBMISSION -> HttpStatusCode.Gone
        ErrorCode.REQUEST_TIMEOUT -> HttpStatusCode.RequestTimeout
        ErrorCode.BODY_TOO_LARGE -> HttpStatusCode.PayloadTooLarge
        ErrorCode.NEVER_RUNNABLE -> HttpStatusCode.UnprocessableEntity
        ErrorCode.INTERNAL -> HttpStatusCode.InternalServerError
        else -> HttpStatusCode.ServiceUnavailable
    }
