package io.bluebellramp.agent

import io.bluebellramp.core.Clock
import io.bluebellramp.core.WireJson
import io.bluebellramp.messages.TargetAnswer
import io.bluebellramp.messages.TargetCall
import io.bluebellramp.messages.TaskReference
import io.bluebellramp.runtime.httpLink
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
 * Calls the target, each call once.
 *
 * It keeps connections for less time than a target does, so that a call seldom meets one that the target has just closed; such a
 * call may have been read, so its outcome is unknown.
 */
internal class TargetLink(
    private val clock: Clock,
) : AutoCloseable {
    private val client = client()

    /** Makes the call of [start] and returns what came of it. */
    suspend fun call(start: AgentAction.Start): AgentInput.CallEnded {
        val call = start.call
        val began = clock.monotonic()
        val result = if (began >= start.before) CallResult.NotSent("permit_ran_out") else bounded(start)
        return AgentInput.CallEnded(TaskReference(call.submission, call.task, call.attempt), result, ran = clock.monotonic() - began)
    }

    override fun close() = client.close()

    private suspend fun bounded(start: AgentAction.Start): CallResult =
        try {
            withTimeoutOrNull(start.timeout) { post(start) } ?: CallResult.Unknown("timeout")
        } catch (_: ConnectException) {
            CallResult.NotSent("connection_refused")
        } catch (e: Exception) {
            currentCoroutineContext().ensureActive()
            CallResult.Unknown("connection_lost: ${e.message ?: e.javaClass.simpleName}")
        }

    private suspend fun post(start: AgentAction.Start): CallResult {
        val response =
            client.post("http://${start.address}/run") {
                contentType(ContentType.Application.Json)
                setBody(start.call)
            }
        return read(response, start.call)
    }

    private suspend fun read(
        response: HttpResponse,
        call: TargetCall,
    ): CallResult {
        val text = response.bodyAsText()
        if (response.status != HttpStatusCode.OK) return CallResult.Failed("status ${response.status.value}: ${text.take(REASON_LENGTH)}")
        val answer =
            try {
                WireJson.decodeFromString<TargetAnswer>(text)
            } catch (_: SerializationException) {
                return CallResult.Unknown("unreadable_answer")
            }
        val matches = answer.submission == call.submission && answer.task == call.task && answer.attempt == call.attempt
        return if (matches) CallResult.Done(answer.result) else CallResult.Unknown(CROSSED)
    }

    companion object {
        /** The reason of an outcome whose answer carried the ids of another call. */
        const val CROSSED = "crossed_answer"
        private const val REASON_LENGTH = 200
        private const val KEEP_ALIVE_SECONDS = 5

        private fun client() =
            run {
                System.setProperty("jdk.httpclient.keepalive.timeout", KEEP_ALIVE_SECONDS.toString())
                httpLink()
            }
    }
}
