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

/** Renews the lease of this entry: finds the leader and sends it a long-poll request about three times a second. */
internal class LeaseClient(
    private val http: HttpClient,
    private val controls: List<Address>,
    private val clock: Clock,
    private val runner: EntryCoreRunner,
) {
    private class LeaseGrant(
        val from: Address,
        val response: LeaseResponse,
        val sent: Duration,
    )

    private var leader: Address? = null

    /** Renews the lease until cancelled. */
    suspend fun run() {
        while (true) {
            val grant = leader?.let { requestLease(it, LONG_POLL_MILLIS) } ?: findLeader()
            leader = grant?.from
            if (grant == null) delay(RETRY_DELAY) else accept(grant)
        }
    }

    /** Tells the leader that this entry issues no more permits and shuts down. */
    suspend fun announceLeaving() {
        leader?.let { send(it, runner.withCoreFirst { now -> leaseRequest(waitMillis = 0, leaving = true, now = now) }) }
    }

    private suspend fun accept(grant: LeaseGrant) {
        val started = clock.monotonic()
        runner.withCoreFirst { now -> onLeaseResponse(grant.response, grant.sent, now) }
        if (started - grant.sent < MIN_RENEWAL_INTERVAL) delay(MIN_RENEWAL_INTERVAL)
    }

    /** Sends a lease request to every control process at once and returns the first grant, or null. */
    private suspend fun findLeader(): LeaseGrant? =
        coroutineScope {
            val calls = controls.map { async { requestLease(it, longPollMillis = 0) } }.toMutableList()
            var found: LeaseGrant? = null
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

    private suspend fun requestLease(
        control: Address,
        longPollMillis: Long,
    ): LeaseGrant? {
        val sent = clock.monotonic()
        val request = runner.withCoreFirst { now -> leaseRequest(waitMillis = longPollMillis, leaving = false, now = now) }
        val response = send(control, request) ?: return null
        return if (response.granted) LeaseGrant(from = control, response = response, sent = sent) else null
    }

    private suspend fun send(
        control: Address,
        request: LeaseRequest,
    ): LeaseResponse? =
        callOrNull(CALL_TIMEOUT + request.waitMillis.milliseconds) {
            val response =
                http.post("http://$control/leases") {
                    contentType(ContentType.Application.Json)
                    setBody(request)
                }
            if (response.status == HttpStatusCode.OK) response.body<LeaseResponse>() else null
        }

    private companion object {
        const val LONG_POLL_MILLIS = 300L
        val CALL_TIMEOUT = 300.milliseconds
        val RETRY_DELAY = 50.milliseconds
        val MIN_RENEWAL_INTERVAL = 10.milliseconds
    }
}
