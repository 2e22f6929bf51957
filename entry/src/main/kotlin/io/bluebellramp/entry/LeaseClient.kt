package io.bluebellramp.entry

import io.bluebellramp.core.Address
import io.bluebellramp.core.Clock
import io.bluebellramp.messages.LeaseRequest
import io.bluebellramp.messages.LeaseResponse
import io.ktor.client.HttpClient
import io.ktor.client.call.body
import io.ktor.client.request.post
import io.ktor.client.request.setBody
import io.ktor.http.ContentType
import io.ktor.http.HttpStatusCode
import io.ktor.http.contentType
import kotlinx.coroutines.async
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.selects.select
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Keeps the lease of the entry: finds the leader and asks it about three times a second. */
internal class LeaseClient(
    private val http: HttpClient,
    private val controls: List<Address>,
    private val clock: Clock,
    private val shell: EntryShell,
) {
    private class Granted(
        val from: Address,
        val response: LeaseResponse,
        val sent: Duration,
    )

    private var leader: Address? = null

    /** Renews the lease until it is cancelled. */
    suspend fun run() {
        while (true) {
            val grant = leader?.let { ask(it, HOLD_MILLIS) } ?: search()
            leader = grant?.from
            if (grant == null) delay(RETRY) else accept(grant)
        }
    }

    /** Tells the leader that this entry passes on no more permits and ends. */
    suspend fun leave() {
        leader?.let { send(it, shell.useFirst { now -> leaseRequest(waitMillis = 0, leaving = true, now = now) }) }
    }

    private suspend fun accept(grant: Granted) {
        val started = clock.monotonic()
        shell.useFirst { now -> renewed(grant.response, grant.sent, now) }
        if (started - grant.sent < SHORTEST_ROUND) delay(SHORTEST_ROUND)
    }

    /** Asks every control process at once and returns the first grant. */
    private suspend fun search(): Granted? =
        coroutineScope {
            val calls = controls.map { async { ask(it, holdMillis = 0) } }.toMutableList()
            var found: Granted? = null
            while (found == null && calls.isNotEmpty()) {
                found =
                    select {
                        calls.toList().forEach { call ->
                            call.onAwait {
                                calls -= call
                                it
                            }
                        }
                    }
            }
            calls.forEach { it.cancel() }
            found
        }

    private suspend fun ask(
        control: Address,
        holdMillis: Long,
    ): Granted? {
        val sent = clock.monotonic()
        val request = shell.useFirst { now -> leaseRequest(waitMillis = holdMillis, leaving = false, now = now) }
        val response = send(control, request) ?: return null
        return if (response.granted) Granted(from = control, response = response, sent = sent) else null
    }

    private suspend fun send(
        control: Address,
        request: LeaseRequest,
    ): LeaseResponse? =
        boundedCall(CALL_TIMEOUT + request.waitMillis.milliseconds) {
            val response =
                http.post("http://$control/leases") {
                    contentType(ContentType.Application.Json)
                    setBody(request)
                }
            if (response.status == HttpStatusCode.OK) response.body<LeaseResponse>() else null
        }

    private companion object {
        const val HOLD_MILLIS = 300L
        val CALL_TIMEOUT = 300.milliseconds
        val RETRY = 50.milliseconds
        val SHORTEST_ROUND = 10.milliseconds
    }
}
