package io.bluebellramp.cli

import io.bluebellramp.core.Address
import io.bluebellramp.core.SubmissionId
import io.bluebellramp.core.WireJson
import io.bluebellramp.messages.Answer
import io.bluebellramp.messages.ErrorCode
import io.bluebellramp.messages.JobSubmission
import io.bluebellramp.messages.RequestSubmission
import io.ktor.client.HttpClient
import io.ktor.client.request.post
import io.ktor.client.request.setBody
import io.ktor.client.statement.HttpResponse
import io.ktor.http.ContentType
import io.ktor.http.contentType
import kotlinx.coroutines.delay
import kotlinx.serialization.KSerializer
import java.io.IOException
import kotlin.time.Duration.Companion.milliseconds

/**
 * Calls the entries, whichever answers.
 *
 * After a lost answer the same submission goes to the next entry under the same id, which joins the first and starts nothing twice.
 */
internal class EntryClient(
    private val http: HttpClient,
    private val entries: List<Address>,
) {
    /** Submits [job] and waits for its answer. */
    suspend fun submit(job: JobSubmission): CallResult<Answer> = submit("/v1/jobs", JobSubmission.serializer(), job)

    /** Sends a single request and waits for its answer. */
    suspend fun request(request: RequestSubmission): CallResult<Answer> = submit("/v1/requests", RequestSubmission.serializer(), request)

    /** Cancels a submission and returns its answer. */
    suspend fun cancel(submission: SubmissionId): CallResult<Answer> = firstAnswer { http.post("http://$it/v1/jobs/$submission/cancel") }

    private suspend fun <T> submit(
        path: String,
        serializer: KSerializer<T>,
        body: T,
    ): CallResult<Answer> =
        firstAnswer {
            http.post("http://$it$path") {
                contentType(ContentType.Application.Json)
                setBody(WireJson.encodeToString(serializer, body))
            }
        }

    private suspend fun firstAnswer(send: suspend (Address) -> HttpResponse): CallResult<Answer> {
        if (entries.isEmpty()) return CallResult.Unreachable("no entry is named; use --entry or --config")
        var last: CallResult<Answer> = CallResult.Unreachable("no entry answered")
        repeat(ROUNDS) {
            for (entry in entries) {
                last = attempt(entry, send)
                if (!last.isWorthAnother()) return last
            }
            delay(PAUSE)
        }
        return last
    }

    private suspend fun attempt(
        entry: Address,
        send: suspend (Address) -> HttpResponse,
    ): CallResult<Answer> =
        try {
            send(entry).decode(Answer.serializer())
        } catch (e: IOException) {
            CallResult.Unreachable("$entry: ${e.message ?: e.javaClass.simpleName}")
        }

    private fun CallResult<Answer>.isWorthAnother() =
        this is CallResult.Unreachable || (this is CallResult.Refused && error.code in resendable)

    private companion object {
        /** The entry started nothing, and the same id may be sent to another one. */
        val resendable = setOf(ErrorCode.NOT_READY, ErrorCode.CLAIMS_UNAVAILABLE, ErrorCode.OWNER_UNREACHABLE)
        const val ROUNDS = 8
        val PAUSE = 500.milliseconds
    }
}
