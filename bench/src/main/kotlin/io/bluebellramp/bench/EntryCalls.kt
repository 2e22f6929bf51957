package io.bluebellramp.bench

import io.bluebellramp.core.SubmissionId
import io.bluebellramp.core.WireJson
import io.bluebellramp.messages.Answer
import io.bluebellramp.messages.ErrorBody
import io.bluebellramp.messages.JobSubmission
import io.bluebellramp.messages.RequestSubmission
import io.bluebellramp.runtime.createHttpClient
import io.ktor.client.request.get
import io.ktor.client.request.post
import io.ktor.client.request.setBody
import io.ktor.client.statement.HttpResponse
import io.ktor.client.statement.bodyAsText
import io.ktor.http.ContentType
import io.ktor.http.HttpStatusCode
import io.ktor.http.contentType
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.serialization.SerializationException
import java.util.concurrent.atomic.AtomicInteger
import kotlin.time.Duration.Companion.milliseconds

/** What came of a call to an entry. */
internal sealed interface CallResult {
    /** The entry answered the submission. */
    data class Answered(
        val answer: Answer,
    ) : CallResult

    /** The entry refused the call. */
    data class Refused(
        val error: ErrorBody,
    ) : CallResult

    /** No answer came, so the outcome is unknown. */
    data class Broken(
        val reason: String,
    ) : CallResult
}

/** Calls the entries in turn and skips those that are not ready, as a balancer does. */
internal class EntryCalls(
    private val entries: List<String>,
) : AutoCloseable {
    private val client = createHttpClient()
    private val readinessClient = createHttpClient(connectTimeout = READINESS_TIMEOUT, timeout = READINESS_TIMEOUT)
    private val turn = AtomicInteger()

    @Volatile
    private var ready = entries

    /** Checks the entries again and again until it is cancelled. */
    suspend fun watch() {
        while (true) {
            checkReadiness()
            delay(READINESS_PERIOD)
        }
    }

    /** Asks each entry whether it is ready. While none is, all are called. */
    suspend fun checkReadiness() =
        coroutineScope {
            val answers = entries.map { entry -> async { entry.takeIf { isReady(it) } } }.awaitAll()
            ready = answers.filterNotNull().ifEmpty { entries }
        }

    suspend fun submit(job: JobSubmission): CallResult = answer { client.post("${next()}/v1/jobs") { json(job) } }

    suspend fun submit(request: RequestSubmission): CallResult = answer { client.post("${next()}/v1/requests") { json(request) } }

    suspend fun cancel(submission: SubmissionId): CallResult = answer { client.post("${next()}/v1/jobs/$submission/cancel") }

    /** Returns the metrics page at [url], or null if it cannot be read. */
    suspend fun metrics(url: String): String? =
        try {
            client.get(url).bodyAsText()
        } catch (e: CancellationException) {
            throw e
        } catch (_: Exception) {
            null
        }

    override fun close() {
        client.close()
        readinessClient.close()
    }

    private suspend fun isReady(entry: String): Boolean =
        try {
            readinessClient.get("$entry/ready").status == HttpStatusCode.OK
        } catch (e: CancellationException) {
            throw e
        } catch (_: Exception) {
            false
        }

    private inline fun <reified T> io.ktor.client.request.HttpRequestBuilder.json(body: T) {
        contentType(ContentType.Application.Json)
        setBody(WireJson.encodeToString(body))
    }

    private fun next(): String = ready.let { it[Math.floorMod(turn.getAndIncrement(), it.size)] }

    private suspend fun answer(call: suspend () -> HttpResponse): CallResult =
        try {
            val response = call()
            decode(response.status.value, response.bodyAsText())
        } catch (e: CancellationException) {
            throw e
        } catch (e: Exception) {
            CallResult.Broken(e.javaClass.simpleName)
        }

    private fun decode(
        status: Int,
        body: String,
    ): CallResult =
        try {
            CallResult.Answered(WireJson.decodeFromString<Answer>(body))
        } catch (_: SerializationException) {
            refusal(status, body)
        }

    private fun refusal(
        status: Int,
        body: String,
    ): CallResult =
        try {
            CallResult.Refused(WireJson.decodeFromString<ErrorBody>(body))
        } catch (_: SerializationException) {
            CallResult.Broken("status $status")
        }

    private companion object {
        val READINESS_PERIOD = 200.milliseconds
        val READINESS_TIMEOUT = 500.milliseconds
    }
}
