package io.bluebellramp.cli

import io.bluebellramp.core.Address
import io.bluebellramp.core.WireJson
import io.bluebellramp.messages.ChangeRequest
import io.bluebellramp.messages.ChangeResponse
import io.bluebellramp.messages.ConfigurationView
import io.bluebellramp.messages.ErrorCode
import io.bluebellramp.messages.MembershipRequest
import io.bluebellramp.messages.StatusView
import io.ktor.client.HttpClient
import io.ktor.client.plugins.timeout
import io.ktor.client.request.HttpRequestBuilder
import io.ktor.client.request.get
import io.ktor.client.request.post
import io.ktor.client.request.setBody
import io.ktor.client.statement.HttpResponse
import io.ktor.http.ContentType
import io.ktor.http.contentType
import kotlinx.coroutines.delay
import kotlinx.serialization.KSerializer
import java.io.IOException
import java.net.ConnectException
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Calls the control processes in turn until one answers.
 *
 * When an answer is lost, a change is sent again with the same change id, so that it is applied only once.
 */
internal class ControlClient(
    private val http: HttpClient,
    private val controls: List<Address>,
) {
    /** Reads the accepted configuration. */
    suspend fun configuration(): CallResult<ConfigurationView> =
        callUntilAnswered(ConfigurationView.serializer()) {
            http.get("http://$it/v1/config") { limitRequestTime(READ_TIMEOUT) }
        }

    /** Reads the status that the leader reports. */
    suspend fun status(): CallResult<StatusView> =
        callUntilAnswered(StatusView.serializer()) {
            http.get("http://$it/v1/status") { limitRequestTime(READ_TIMEOUT) }
        }

    /** Submits a change. If [wait] is true, the answer comes once the change is in force. */
    suspend fun change(
        request: ChangeRequest,
        wait: Boolean,
    ): CallResult<ChangeResponse> =
        callUntilAnswered(ChangeResponse.serializer()) {
            http.post("http://$it/v1/changes?wait=$wait") {
                limitRequestTime(CHANGE_TIMEOUT)
                contentType(ContentType.Application.Json)
                setBody(WireJson.encodeToString(ChangeRequest.serializer(), request))
            }
        }

    /** Changes the membership. It is not retried once it may have arrived: a repeat could be refused although the first call took effect. */
    suspend fun changeMembership(request: MembershipRequest): CallResult<StatusView> =
        callUntilAnswered(StatusView.serializer(), retryOn = setOf(ErrorCode.NO_LEADER)) {
            http.post("http://$it/v1/members") {
                limitRequestTime(MEMBERSHIP_TIMEOUT)
                contentType(ContentType.Application.Json)
                setBody(WireJson.encodeToString(MembershipRequest.serializer(), request))
            }
        }

    /** Limits the time of a call. A frozen process accepts connections but never answers; after the limit the next process is called. */
    private fun HttpRequestBuilder.limitRequestTime(limit: Duration) = timeout { requestTimeoutMillis = limit.inWholeMilliseconds }

    /**
     * Calls the control processes in turn, for up to [MAX_ROUNDS] rounds, until one gives a final result.
     *
     * @param retryOn null if the call may be repeated without harm: it is then retried after [retryableCodes] and whenever no answer came.
     *   Otherwise the refusals after which it is retried; without an answer it is retried only if it cannot have arrived.
     */
    private suspend fun <T> callUntilAnswered(
        serializer: KSerializer<T>,
        retryOn: Set<ErrorCode>? = null,
        send: suspend (Address) -> HttpResponse,
    ): CallResult<T> {
        if (controls.isEmpty()) return CallResult.Unreachable("no control process is named; use --control or --config")
        var lastResult: CallResult<T> = CallResult.Unreachable("no control process answered")
        repeat(MAX_ROUNDS) {
            for (control in controls) {
                lastResult = callControl(control, serializer, send)
                if (!lastResult.isRetryable(retryOn)) return lastResult
            }
            delay(ROUND_DELAY)
        }
        return lastResult
    }

    private suspend fun <T> callControl(
        control: Address,
        serializer: KSerializer<T>,
        send: suspend (Address) -> HttpResponse,
    ): CallResult<T> =
        try {
            send(control).toCallResult(serializer)
        } catch (e: IOException) {
            CallResult.Unreachable("$control: ${e.message ?: e.javaClass.simpleName}", mayHaveArrived = e !is ConnectException)
        }

    private fun CallResult<*>.isRetryable(retryOn: Set<ErrorCode>?) =
        when (this) {
            is CallResult.Success -> false
            is CallResult.Refused -> error.code in (retryOn ?: retryableCodes)
            is CallResult.Unreachable -> retryOn == null || !mayHaveArrived
        }

    private companion object {
        const val MAX_ROUNDS = 20

        /** After these refusals the call may be repeated, a change with the same change id. */
        val retryableCodes = setOf(ErrorCode.NO_LEADER, ErrorCode.OUTCOME_UNKNOWN)
        val ROUND_DELAY = 250.milliseconds
        val READ_TIMEOUT = 2.seconds

        /** Slightly longer than a control process waits for a change to come into force, plus the forwarding to the leader. */
        val CHANGE_TIMEOUT = 6.seconds

        /** Slightly longer than a learner may take to catch up with the log. */
        val MEMBERSHIP_TIMEOUT = 70.seconds
    }
}
