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

/** Result of a call to an entry. */
internal sealed interface CallResult {
    /** The entry returned an answer to the submission. */
    data class Answered(
        val answer: Answer,
    ) : CallResult

    /** The entry rejected the call with an error. */
    data class Refused(
        val error: ErrorBody,
    ) : CallResult

    /** The call failed or its response could not be decoded, so the outcome is unknown. */
    data class NoAnswer(
        val reason: String,
    ) : CallResult
}

/** HTTP client that calls the entries round-robin and skips those that are not ready, as a load balancer does. */
internal class EntryClient(
    private val entries: List<String>,
) : AutoCloseable {
    private val httpClient = createHttpClient()
    private val readinessClient = createHttpClient(connectTimeout = READINESS_TIMEOUT, timeout = READINESS_TIMEOUT)
    private val nextIndex = AtomicInteger()

    @Volatile
    private var readyEntries = entries

    /** Polls the readiness of the entries until it is cancelled. */
    suspend fun pollReadiness() {
        while (true) {
            checkReadiness()
            delay(READINESS_POLL_PERIOD)
        }
    }

    /** Queries the readiness of each entry once. If none is ready, calls go to all of them. */
    suspend fun checkReadiness() =
        coroutineScope {
            val answers = entries.map { entry -> async { entry.takeIf { isReady(it) } } }.awaitAll()
            readyEntries = answers.filterNotNull().ifEmpty { entries }
        }

    suspend fun submit(job: JobSubmission): CallResult = execute { httpClient.post("${nextEntry()}/v1/jobs") { json(job) } }

    suspend fun submit(request: RequestSubmission): CallResult = execute { httpClient.post("${nextEntry()}/v1/requests") { json(request) } }

    suspend fun cancel(submission: SubmissionId): CallResult = execute { httpClient.post("${nextEntry()}/v1/jobs/$submission/cancel") }

    /** Returns the metrics page at [url], or null if it cannot be read. */
    suspend fun metrics(url: String): String? =
        try {
            httpClient.get(url).bodyAsText()
        } catch (e: CancellationException) {
            throw e
        } catch (_: Exception) {
            null
        }

    override fun close() {
        httpClient.close()
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

    private fun nextEntry(): String = readyEntries.let { it[Math.floorMod(nextIndex.getAndIncrement(), it.size)] }

    private suspend fun execute(call: suspend () -> HttpResponse): CallResult =
        try {
            val response = call()
            decode(response.status.value, response.bodyAsText())
        } catch (e: CancellationException) {
            throw e
        } catch (e: Exception) {
            CallResult.NoAnswer(e.javaClass.simpleName)
        }

    private fun decode(
        status: Int,
        body: String,
    ): CallResult =
        try {
            CallResult.Answered(WireJson.decodeFromString<Answer>(body))
        } catch (_: SerializationException) {
            decodeRefusal(status, body)
        }

    private fun decodeRefusal(
        status: Int,
        body: String,
    ): CallResult =
        try {
            CallResult.Refused(WireJson.decodeFromString<ErrorBody>(body))
        } catch (_: SerializationException) {
            CallResult.NoAnswer("status $status")
        }

    private companion object {
        val READINESS_POLL_PERIOD = 200.milliseconds
        val READINESS_TIMEOUT = 500.milliseconds
    }
}
