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

    /** Cancels a submission and returns its answer. An entry that does not know the id is passed over for the next. */
    suspend fun cancel(submission: SubmissionId): CallResult<Answer> =
        firstAnswer(passedOver = setOf(ErrorCode.NOT_FOUND)) { http.post("http://$it/v1/jobs/$submission/cancel") }

    /** Asks how many tasks of a submission are done. Returns null if no entry says. */
    suspend fun progress(submission: SubmissionId): PendingBody? =
        entries.firstNotNullOfOrNull { entry -> pending(entry, submission)?.takeIf { it.tasksDone != null } }

    private suspend fun pending(
        entry: Address,
        submission: SubmissionId,
    ): PendingBody? =
        try {
            val response =
                http.get(
                    "http://$entry/v1/jobs/$submission?wait=0",
                ) { timeout { requestTimeoutMillis = PROGRESS_TIME.inWholeMilliseconds } }
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
        firstAnswer {
            http.post("http://$it$path") {
                contentType(ContentType.Application.Json)
                setBody(WireJson.encodeToString(serializer, body))
            }
        }

    /** @param passedOver refusals for which the other entries are asked too, but only once if all of them say so */
    private suspend fun firstAnswer(
        passedOver: Set<ErrorCode> = emptySet(),
        send: suspend (Address) -> HttpResponse,
    ): CallResult<Answer> {
        if (entries.isEmpty()) return CallResult.Unreachable("no entry is named; use --entry or --config")
        var last: CallResult<Answer> = CallResult.Unreachable("no entry answered")
        repeat(ROUNDS) {
            val round = ArrayList<CallResult<Answer>>()
            for (entry in entries) {
                val result = attempt(entry, send)
                if (!result.isWorthAnother() && !result.isRefusedWith(passedOver)) return result
                round += result
            }
            last = round.firstOrNull { !it.isRefusedWith(passedOver) } ?: return round.last()
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

    private fun CallResult<Answer>.isWorthAnother() = this is CallResult.Unreachable || isRefusedWith(resendable)

    private fun CallResult<Answer>.isRefusedWith(codes: Set<ErrorCode>) = this is CallResult.Refused && error.code in codes

    private companion object {
        /** The entry started nothing, and the same id may be sent to another one. */
        val resendable =
            setOf(
                ErrorCode.NOT_READY,
                ErrorCode.LEAVING,
                ErrorCode.CLAIMS_UNAVAILABLE,
                ErrorCode.OWNER_UNREACHABLE,
            )
        const val ROUNDS = 8
        val PAUSE = 500.milliseconds
        val PROGRESS_TIME = 1.seconds
    }
}
