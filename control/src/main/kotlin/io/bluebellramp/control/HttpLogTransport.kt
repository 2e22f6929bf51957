package io.bluebellramp.control

import io.bluebellramp.messages.AppendRequest
import io.bluebellramp.messages.AppendResponse
import io.bluebellramp.messages.MemberAddress
import io.bluebellramp.messages.SnapshotRequest
import io.bluebellramp.messages.SnapshotResponse
import io.bluebellramp.messages.VoteRequest
import io.bluebellramp.messages.VoteResponse
import io.bluebellramp.replication.LogTransport
import io.ktor.client.HttpClient
import io.ktor.client.call.body
import io.ktor.client.request.post
import io.ktor.client.request.setBody
import io.ktor.http.ContentType
import io.ktor.http.contentType
import io.ktor.http.isSuccess
import kotlinx.coroutines.CancellationException

/** Sends the messages of the log over HTTP. [client] must bound each request by a timeout. */
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
        val response =
            post("http://${to.address}$path") {
                contentType(ContentType.Application.Json)
                setBody(request)
            }
        if (response.status.isSuccess()) response.body<A>() else null
    } catch (e: CancellationException) {
        throw e
    } catch (_: Exception) {
        // Whatever went wrong, no answer came; the log must learn of it to go on.
        null
    }
