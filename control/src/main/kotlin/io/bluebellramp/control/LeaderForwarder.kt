package io.bluebellramp.control

import io.bluebellramp.messages.ErrorCode
import io.bluebellramp.messages.MemberAddress
import io.bluebellramp.replication.ReplicatedLog
import io.ktor.client.HttpClient
import io.ktor.client.request.header
import io.ktor.client.request.request
import io.ktor.client.request.setBody
import io.ktor.client.statement.HttpResponse
import io.ktor.client.statement.bodyAsBytes
import io.ktor.http.ContentType
import io.ktor.http.HttpMethod
import io.ktor.http.HttpStatusCode
import io.ktor.http.content.ByteArrayContent
import io.ktor.http.contentType
import io.ktor.server.application.ApplicationCall
import io.ktor.server.request.httpMethod
import io.ktor.server.request.uri
import io.ktor.server.response.respondBytes
import java.io.IOException
import java.net.ConnectException
import io.ktor.server.request.header as requestHeader

/** Forwards operators' calls to the leader, over at most one hop. */
class LeaderForwarder(
    private val log: ReplicatedLog,
    private val client: HttpClient,
) {
    /** Forwards [call] with [body] and sends the response, or responds that no leader is known. */
    suspend fun forward(
        call: ApplicationCall,
        body: ByteArray? = null,
    ) {
        if (!tryForward(call, body)) call.respondNoLeader()
    }

    /** Forwards [call] and sends the response; returns false without a response if no leader can be reached. */
    suspend fun tryForward(
        call: ApplicationCall,
        body: ByteArray? = null,
    ): Boolean {
        val leader = log.status().leader
        if (leader == null || call.requestHeader(FORWARDED_HEADER) != null) return false
        try {
            val response = send(leader, call, body)
            call.respondBytes(response.bodyAsBytes(), response.contentType() ?: ContentType.Application.Json, response.status)
        } catch (_: ConnectException) {
            return false
        } catch (_: IOException) {
            if (call.request.httpMethod == HttpMethod.Get) return false
            call.respondOutcomeUnknown()
        }
        return true
    }

    private suspend fun send(
        leader: MemberAddress,
        call: ApplicationCall,
        body: ByteArray?,
    ): HttpResponse =
        client.request("http://${leader.address}${call.request.uri}") {
            method = call.request.httpMethod
            header(FORWARDED_HEADER, "1")
            if (body != null) setBody(ByteArrayContent(body, ContentType.Application.Json))
        }

    private fun ApplicationCall.requestHeader(name: String) = request.requestHeader(name)

    private companion object {
        const val FORWARDED_HEADER = "X-Bluebellramp-Forwarded"
    }
}

/** Responds that the call may or may not have taken effect. */
internal suspend fun ApplicationCall.respondOutcomeUnknown() =
    respondError(
        HttpStatusCode.ServiceUnavailable,
        ErrorCode.OUTCOME_UNKNOWN,
        "The leader changed or was cut off under way. Send the same call again; a change is recognized by its change id.",
    )
