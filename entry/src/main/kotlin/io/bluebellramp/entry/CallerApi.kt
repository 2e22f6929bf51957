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
 * The callers' API.
 *
 * A body with `outcome` is an [Answer] of the owner and final for its id. A caller may resubmit under a new id only after `not_run`. Any other
 * body is an [ErrorBody]: this entry started nothing of the call, and nobody runs a body that was refused with 4xx. After 503 with an
 * [ErrorBody] another entry may own the id, for example if a balancer sent the call twice, so send the same id again.
 *
 * | status | body | when |
 * | --- | --- | --- |
 * | 200 | `Answer` | `complete`, `failed`, or `not_run` after a cancel or a deadline |
 * | 202 | [PendingBody] | `wait` ran out |
 * | 400 | `ErrorBody` | the body is cut short, is not JSON or violates the schema; the id has a wrong form or a time in the future |
 * | 404 | `ErrorBody` | unknown service, or an id that no live entry knows |
 * | 408 | `ErrorBody` | headers and body were not whole in time; the server says so before a route is asked |
 * | 409 | `ErrorBody` | the id belongs to another body |
 * | 410 | `ErrorBody` | the id is too old |
 * | 413 | `ErrorBody` | the body is too large |
 * | 422 | `ErrorBody` | no executor can ever run it |
 * | 429 | `Answer`, `not_run` | the quota of the team is used up |
 * | 503 | `Answer`, `not_run` | the queue is full or the deadline can't be met |
 * | 503 | `ErrorBody` | no lease or no memory for calls (`not_ready`), the entry is leaving, no majority for the claim, or the owner does not answer |
 */
internal class CallerApi(
    private val shell: EntryShell,
    private val peers: PeerClient,
    private val reader: SubmissionReader,
    private val metrics: CallMetrics,
    private val bodyBytes: Long,
    private val budget: MemoryBudget,
    private val isLeaving: () -> Boolean,
) {
    private val inFlight = AtomicInteger()

    /** True if every call has its whole response. */
    val isIdle get() = inFlight.get() == 0

    /** Adds the routes. */
    fun Route.calls() {
        post("/v1/jobs") { call.counted { submit(reader::job) } }
        post("/v1/requests") { call.counted { submit(reader::request) } }
        get("/v1/jobs/{id}") { call.counted { find() } }
        post("/v1/jobs/{id}/cancel") { call.counted { cancel() } }
    }

    /** A caller of an entry that is leaving is told to use its connection no more, so that its next call is not cut. */
    private suspend fun ApplicationCall.counted(serve: suspend ApplicationCall.() -> Unit) {
        inFlight.incrementAndGet()
        try {
            if (isLeaving()) response.header(HttpHeaders.Connection, "close")
            bounded(serve)
        } finally {
            inFlight.decrementAndGet()
        }
    }

    /** A call for which there is no memory is refused before its body is read, so nothing of it is started or claimed. */
    private suspend fun ApplicationCall.bounded(serve: suspend ApplicationCall.() -> Unit) {
        val share = budget.admit(CALL_BYTES + BODY_COPIES * declaredBytes()) ?: return refuse(NO_ROOM)
        attributes.put(SHARE, share)
        try {
            serve()
        } finally {
            share.close()
        }
    }

    private fun ApplicationCall.declaredBytes(): Long =
        when {
            request.headers[HttpHeaders.TransferEncoding] != null -> bodyBytes
            else -> request.headers[HttpHeaders.ContentLength]?.toLongOrNull()?.coerceIn(0, bodyBytes) ?: 0
        }

    private suspend fun ApplicationCall.submit(read: (String) -> ReadResult) {
        when (val body = readBody(bodyBytes)) {
            is BodyResult.Whole -> {
                when (val result = read(body.text)) {
                    is ReadResult.Valid -> accept(result.submission)
                    is ReadResult.Invalid -> refuse(result.error)
                }
            }

            BodyResult.TooLarge -> {
                refuse(errorAt("$", ErrorCode.BODY_TOO_LARGE, "The body must be at most $bodyBytes bytes."))
            }

            BodyResult.Cut -> {
                refuse(errorAt("$", ErrorCode.INVALID_BODY, "The body is cut short or is not UTF-8."))
            }
        }
    }

    private suspend fun ApplicationCall.accept(submission: NewSubmission) {
        val refusal = shell.use { now -> limits(submission, now) }
        if (refusal != null) return refuse(refusal.withPath())
        val started = metrics.start()
        attributes[SHARE].resize(CALL_BYTES)
        val reply = await(submission.id, shell.submit(submission)) ?: return
        metrics.finish(started, submission.kind, reply)
    }

    private suspend fun ApplicationCall.find() {
        val id = id() ?: return refuse(ErrorBody(ErrorCode.INVALID_SUBMISSION, "The id is no UUID version 7 in lower case."))
        val reply = shell.find(id) ?: return findElsewhere(id)
        await(id, reply)
    }

    private suspend fun ApplicationCall.cancel() {
        val id = id() ?: return refuse(ErrorBody(ErrorCode.INVALID_SUBMISSION, "The id is no UUID version 7 in lower case."))
        val reply = shell.find(id)
        if (reply != null) {
            shell.use { now -> cancel(id, now) }
            await(id, reply)
            return
        }
        val found = peers.cancelEverywhere(id)
        if (found == PeerSearch.Found) findElsewhere(id, isKnown = true) else respondMissing(id, found)
    }

    /**
     * Answers for an id that this entry has not seen with what the entry that owns it says.
     *
     * @param isKnown true if an entry knows the id, even if that is not its owner
     */
    private suspend fun ApplicationCall.findElsewhere(
        id: SubmissionId,
        isKnown: Boolean = false,
    ) {
        val wait = waitMillis()?.milliseconds
        val start = TimeSource.Monotonic.markNow()
        while (true) {
            val left = wait?.let { (it - start.elapsedNow()).coerceAtLeast(Duration.ZERO) }
            val found = peers.findEverywhere(id, minOf(left ?: PEER_WAIT, PEER_WAIT))
            when {
                found is PeerSearch.Answered -> return answer(Reply.Whole(found.answer))
                found !is PeerSearch.Pending -> return respondMissing(id, if (isKnown) PeerSearch.Unclear else found)
                left == Duration.ZERO -> return respondPending(found.body)
            }
        }
    }

    private suspend fun ApplicationCall.respondMissing(
        id: SubmissionId,
        found: PeerSearch,
    ) = if (found == PeerSearch.Unknown) {
        refuse(ErrorBody(ErrorCode.NOT_FOUND, "No live entry knows $id."))
    } else {
        refuse(ErrorBody(ErrorCode.OWNER_UNREACHABLE, "This entry does not know $id, and another entry did not answer."))
    }

    private suspend fun ApplicationCall.await(
        id: SubmissionId,
        reply: Deferred<Reply>,
    ): Reply? {
        val wait = waitMillis()
        val whole = if (wait == null) reply.await() else reply.awaitUpTo(wait.milliseconds)
        if (whole == null) respondPending(progress(id)) else answer(whole)
        if (whole is Reply.Whole) shell.use { fetched(id) }
        return whole
    }

    /** The count of the owner, which may be another entry. */
    private suspend fun progress(id: SubmissionId): PendingBody =
        shell.use { progress(id) } ?: (peers.findEverywhere(id, Duration.ZERO) as? PeerSearch.Pending)?.body ?: PendingBody(id)

    private suspend fun ApplicationCall.answer(reply: Reply) =
        when (reply) {
            is Reply.Whole -> respondAnswer(reply.answer)
            is Reply.Refused -> refuse(reply.error)
        }

    private suspend fun ApplicationCall.respondAnswer(answer: Answer) {
        val text = WireJson.encodeToString(Answer.serializer(), answer)
        attributes[SHARE].resize(CALL_BYTES + ANSWER_COPIES * text.length)
        respondJson(answer.httpStatus(), text)
    }

    private suspend fun ApplicationCall.refuse(error: ErrorBody) {
        metrics.refused(error.code)
        respondJson(error.code.httpStatus(), WireJson.encodeToString(ErrorBody.serializer(), error))
    }

    private fun ApplicationCall.id() = SubmissionId.parse(parameters["id"].orEmpty())

    private companion object {
        /** How long one question to the other entries waits for an answer. */
        val PEER_WAIT = 1.seconds
        val SHARE = AttributeKey<MemoryBudget.Share>("memory")
        val NO_ROOM = ErrorBody(ErrorCode.NOT_READY, "This entry has no memory for more calls. It started nothing. Send the same id again.")

        /** Memory of a call besides its bodies, with its connection. */
        const val CALL_BYTES = 16L * 1024

        /** Copies of a body while it is read: bytes, text, canonical text and tasks. */
        const val BODY_COPIES = 4

        /** Copies of an answer while it is written: text and bytes. */
        const val ANSWER_COPIES = 2
    }
}

private fun errorAt(
    path: String,
    code: ErrorCode,
    message: String,
) = ErrorBody(code, message, listOf(Violation(path, message)))

/** Adds the place in the body of an error that the core, which knows no bodies, found. */
private fun ErrorBody.withPath() =
    if (code == ErrorCode.UNKNOWN_SERVICE && violations.isEmpty()) errorAt("$.service", code, message) else this

/** The value of `wait` (ms), or null if the call waits for the answer. */
internal fun ApplicationCall.waitMillis(): Long? = request.queryParameters["wait"]?.toLongOrNull()?.coerceAtLeast(0)

/** Returns the value, or null if it does not come within [time]. A value that is there is returned even if [time] is zero. */
internal suspend fun <T : Any> Deferred<T>.awaitUpTo(time: Duration): T? = if (isCompleted) await() else withTimeoutOrNull(time) { await() }

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
