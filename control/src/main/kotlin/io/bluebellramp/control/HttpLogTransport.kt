package io.bluebellramp.control

import io.bluebellramp.core.WireJson
import io.bluebellramp.messages.AppendRequest
import io.bluebellramp.messages.AppendResponse
import io.bluebellramp.messages.MemberAddress
import io.bluebellramp.messages.SnapshotRequest
import io.bluebellramp.messages.SnapshotResponse
import io.bluebellramp.messages.VoteRequest
import io.bluebellramp.messages.VoteResponse
import io.bluebellramp.replication.LogTransport
import io.ktor.client.HttpClient
import io.ktor.client.request.post
import io.ktor.client.request.setBody
import io.ktor.client.statement.bodyAsText
import io.ktor.http.ContentType
import io.ktor.http.content.TextContent
import io.ktor.http.isSuccess
import kotlinx.coroutines.CancellationException

/** Sends messages of the replicated log over HTTP. [client] must have a request timeout. */
class HttpLogTransport(
    private val client: HttpClient,
) : LogTransport {
    override suspend fun vote(
        to: MemberAddress,
        request: VoteRequest,
    ): VoteResponse? = client.call<VoteRequest, VoteResponse>(to, "/log/vote", request)

    override suspend fun append(
        to: MemberAddress,
        request: AppendRequest,
    ): AppendResponse? = client.call<AppendRequest, AppendResponse>(to, "/log/append", request)

    override suspend fun snapshot(
        to: MemberAddress,
        request: SnapshotRequest,
    ): SnapshotResponse? = client.call<SnapshotRequest, SnapshotResponse>(to, "/log/snapshot", request)
}

private suspend inline fun <reified Q : Any, reified A> HttpClient.call(
    to: MemberAddress,
    path: String,
    request: Q,
): A? =
    try {
        // Plain text avoids the cost of Ktor's content negotiation for these frequent calls.
        val body = TextContent(WireJson.encodeToString(request), ContentType.Application.Json)
        val response = post("http://${to.address}$path") { setBody(body) }
        if (response.status.isSuccess()) WireJson.decodeFromString<A>(response.bodyAsText()) else null
    } catch (e: CancellationException) {
        throw e
    } catch (_: Exception) {
        // Any failure counts as a missing response; the log must be told so that it can continue.
        null
    }
