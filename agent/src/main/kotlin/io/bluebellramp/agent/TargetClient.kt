package io.bluebellramp.agent

import io.bluebellramp.core.Clock
import io.bluebellramp.core.WireJson
import io.bluebellramp.messages.TargetAnswer
import io.bluebellramp.messages.TargetCall
import io.bluebellramp.messages.TaskReference
import io.bluebellramp.runtime.createHttpClient
import io.ktor.client.request.post
import io.ktor.client.request.setBody
import io.ktor.client.statement.HttpResponse
import io.ktor.client.statement.bodyAsText
import io.ktor.http.ContentType
import io.ktor.http.HttpStatusCode
import io.ktor.http.contentType
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.ensureActive
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.serialization.SerializationException
import java.net.ConnectException

/**
 * Calls the target over HTTP, without retries.
 *
 * Idle connections are kept for less time than a target keeps them, so that a call rarely uses one that the target has just closed:
 * the target may have read such a call, so its outcome is unknown.
 */
internal class TargetClient(
    private val clock: Clock,
) : AutoCloseable {
    private val httpClient = createTargetHttpClient()

    /** Makes the call of [action] and returns its result. */
    suspend fun call(action: AgentAction.CallTarget): AgentInput.CallEnded {
        val call = action.call
        val began = clock.monotonic()
        val result = if (began >= action.sendDeadline) CallResult.NotSent("permit_ran_out") else callWithTimeout(action)
        return AgentInput.CallEnded(TaskReference(call.submission, call.task, call.attempt), result, duration = clock.monotonic() - began)
    }

    override fun close() = httpClient.close()

    private suspend fun callWithTimeout(action: AgentAction.CallTarget): CallResult =
        try {
            withTimeoutOrNull(action.timeout) { postCall(action) } ?: CallResult.Unknown("timeout")
        } catch (_: ConnectException) {
            CallResult.NotSent("connection_refused")
        } catch (e: Exception) {
            currentCoroutineContext().ensureActive()
            CallResult.Unknown("connection_lost: ${e.message ?: e.javaClass.simpleName}")
        }

    private suspend fun postCall(action: AgentAction.CallTarget): CallResult {
        val response =
            httpClient.post("http://${action.address}/run") {
                contentType(ContentType.Application.Json)
                setBody(action.call)
            }
        return readResult(response, action.call)
    }

    private suspend fun readResult(
        response: HttpResponse,
        call: TargetCall,
    ): CallResult {
        val text = response.bodyAsText()
        if (response.status != HttpStatusCode.OK) return CallResult.Failed("status ${response.status.value}: ${text.take(REASON_CHARS)}")
        val answer =
            try {
                WireJson.decodeFromString<TargetAnswer>(text)
            } catch (_: SerializationException) {
                return CallResult.Unknown("unreadable_answer")
            }
        val matches = answer.submission == call.submission && answer.task == call.task && answer.attempt == call.attempt
        return if (matches) CallResult.Done(answer.result) else CallResult.Unknown(MISMATCHED_ANSWER)
    }

    companion object {
        /** The reason of an unknown outcome if the answer carried the ids of another call. */
        const val MISMATCHED_ANSWER = "crossed_answer"
        private const val REASON_CHARS = 200
        private const val KEEP_ALIVE_SECONDS = 5

        private fun createTargetHttpClient() =
            run {
                System.setProperty("jdk.httpclient.keepalive.timeout", KEEP_ALIVE_SECONDS.toString())
                createHttpClient()
            }
    }
}
