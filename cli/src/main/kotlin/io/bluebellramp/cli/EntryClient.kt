package io.bluebellramp.cli

import io.bluebellramp.core.Address
import io.bluebellramp.core.SubmissionId
import io.bluebellramp.core.WireJson
import io.bluebellramp.messages.Answer
import io.bluebellramp.messages.ErrorCode
import io.bluebellramp.messages.JobSubmission
import io.bluebellramp.messages.PendingBody
import io.bluebellramp.messages.RequestSubmission
import io.ktor.client.HttpClient
import io.ktor.client.plugins.timeout
import io.ktor.client.request.get
import io.ktor.client.request.post
import io.ktor.client.request.setBody
import io.ktor.client.statement.HttpResponse
import io.ktor.client.statement.bodyAsText
import io.ktor.http.ContentType
import io.ktor.http.HttpStatusCode
import io.ktor.http.contentType
import kotlinx.coroutines.delay
import kotlinx.serialization.KSerializer
import kotlinx.serialization.SerializationException
import java.io.IOException
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Calls the entries in turn until one answers.
 *
 * When an answer is lost, the submission is sent to the next entry with the same id. That entry then attaches to the first submission, so
 * that no task starts twice.
 */
internal class EntryClient(
    private val http: HttpClient,
    private val entries: List<Address>,
) {
    /** Submits [job] and waits for its answer. */
    suspend fun submit(job: JobSubmission): CallResult<Answer> = submit("/v1/jobs", JobSubmission.serializer(), job)

    /** Sends a single request and waits for its answer. */
    suspend fun request(request: RequestSubmission): CallResult<Answer> = submit("/v1/requests", RequestSubmission.serializer(), request)

    /** Cancels a submission and returns its answer. If an entry does not know the id, the next entry is asked. */
    suspend fun cancel(submission: SubmissionId): CallResult<Answer> =
        callUntilAnswered(askNextOn = setOf(ErrorCode.NOT_FOUND)) { http.post("http://$it/v1/jobs/$submission/cancel") }

    /** Returns how many tasks of a submission are done, or null if no entry reports it. */
    suspend fun progress(submission: SubmissionId): PendingBody? =
        entries.firstNotNullOfOrNull { entry -> progressFrom(entry, submission)?.takeIf { it.tasksDone != null } }

    private suspend fun progressFrom(
        entry: Address,
        submission: SubmissionId,
    ): PendingBody? =
        try {
            val response =
                http.get(
                    "http://$entry/v1/jobs/$submission?wait=0",
                ) { timeout { requestTimeoutMillis = PROGRESS_TIMEOUT.inWholeMilliseconds } }
            if (response.status == HttpStatusCode.Accepted) {
                WireJson.decodeFromString(PendingBody.serializer(), response.bodyAsText())
            } else {
                null
            }
        } catch (_: IOException) {
            null
        } catch (_: SerializationException) {
            null
        }

    private suspend fun <T> submit(
        path: String,
        serializer: KSerializer<T>,
        body: T,
    ): CallResult<Answer> =
        callUntilAnswered {
            http.post("http://$it$path") {
                contentType(ContentType.Application.Json)
                setBody(WireJson.encodeToString(serializer, body))
            }
        }

    /**
     * Calls the entries in turn, for up to [MAX_ROUNDS] rounds, until one gives a final result.
     *
     * @param askNextOn refusals after which the next entry is asked; if all entries refuse in this way, there is no further round
     */
    private suspend fun callUntilAnswered(
        askNextOn: Set<ErrorCode> = emptySet(),
        send: suspend (Address) -> HttpResponse,
    ): CallResult<Answer> {
        if (entries.isEmpty()) return CallResult.Unreachable("no entry is named; use --entry or --config")
        var lastFailure: CallResult<Answer> = CallResult.Unreachable("no entry answered")
        repeat(MAX_ROUNDS) {
            val roundResults = ArrayList<CallResult<Answer>>()
            for (entry in entries) {
                val result = callEntry(entry, send)
                if (!result.isRetryable() && !result.isRefusedWith(askNextOn)) return result
                roundResults += result
            }
            lastFailure = roundResults.firstOrNull { !it.isRefusedWith(askNextOn) } ?: return roundResults.last()
            delay(ROUND_DELAY)
        }
        return lastFailure
    }

    private suspend fun callEntry(
        entry: Address,
        send: suspend (Address) -> HttpResponse,
    ): CallResult<Answer> =
        try {
            send(entry).toCallResult(Answer.serializer())
        } catch (e: IOException) {
            CallResult.Unreachable("$entry: ${e.message ?: e.javaClass.simpleName}")
        }

    private fun CallResult<Answer>.isRetryable() = this is CallResult.Unreachable || isRefusedWith(retryableCodes)

    private fun CallResult<Answer>.isRefusedWith(codes: Set<ErrorCode>) = this is CallResult.Refused && error.code in codes

    private companion object {
        /** After these refusals the entry has started nothing, and the same id may be sent to another entry. */
        val retryableCodes =
            setOf(
                ErrorCode.NOT_READY,
                ErrorCode.LEAVING,
                ErrorCode.CLAIMS_UNAVAILABLE,
                ErrorCode.OWNER_UNREACHABLE,
            )
        const val MAX_ROUNDS = 8
        val ROUND_DELAY = 500.milliseconds
        val PROGRESS_TIMEOUT = 1.seconds
    }
}
