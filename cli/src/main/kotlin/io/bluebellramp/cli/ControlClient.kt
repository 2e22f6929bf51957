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
 * Calls the control processes, whichever answers.
 *
 * A change is resent under its change id after a lost answer, which applies it once.
 */
internal class ControlClient(
    private val http: HttpClient,
    private val controls: List<Address>,
) {
    /** Reads the accepted configuration. */
    suspend fun configuration(): CallResult<ConfigurationView> =
        call(ConfigurationView.serializer()) {
            http.get("http://$it/v1/config") { answerWithin(CALL_TIME) }
        }

    /** Reads the status as the leader sees it. */
    suspend fun status(): CallResult<StatusView> =
        call(StatusView.serializer()) {
            http.get("http://$it/v1/status") { answerWithin(CALL_TIME) }
        }

    /** Makes a change and waits until it is in force if [wait]. */
    suspend fun change(
        request: ChangeRequest,
        wait: Boolean,
    ): CallResult<ChangeResponse> =
        call(ChangeResponse.serializer()) {
            http.post("http://$it/v1/changes?wait=$wait") {
                answerWithin(CHANGE_TIME)
                contentType(ContentType.Application.Json)
                setBody(WireJson.encodeToString(ChangeRequest.serializer(), request))
            }
        }

    /** Changes the membership. It is not sent again once it may have arrived, since a repeat could be refused although the first took effect. */
    suspend fun changeMembership(request: MembershipRequest): CallResult<StatusView> =
        call(StatusView.serializer(), resend = setOf(ErrorCode.NO_LEADER)) {
            http.post("http://$it/v1/members") {
                answerWithin(MEMBERSHIP_TIME)
                contentType(ContentType.Application.Json)
                setBody(WireJson.encodeToString(MembershipRequest.serializer(), request))
            }
        }

    /** A process that is frozen accepts connections and never answers, so each call has a bound after which the next one is asked. */
    private fun HttpRequestBuilder.answerWithin(time: Duration) = timeout { requestTimeoutMillis = time.inWholeMilliseconds }

    private suspend fun <T> call(
        serializer: KSerializer<T>,
        resend: Set<ErrorCode>? = null,
        send: suspend (Address) -> HttpResponse,
    ): CallResult<T> {
        if (controls.isEmpty()) return CallResult.Unreachable("no control process is named; use --control or --config")
        var last: CallResult<T> = CallResult.Unreachable("no control process answered")
        repeat(ROUNDS) {
            for (control in controls) {
                last = attempt(control, serializer, send)
                if (!last.isWorthAnother(resend)) return last
            }
            delay(PAUSE)
        }
        return last
    }

    private suspend fun <T> attempt(
        control: Address,
        serializer: KSerializer<T>,
        send: suspend (Address) -> HttpResponse,
    ): CallResult<T> =
        try {
            send(control).decode(serializer)
        } catch (e: IOException) {
            CallResult.Unreachable("$control: ${e.message ?: e.javaClass.simpleName}", mayHaveArrived = e !is ConnectException)
        }

    private fun CallResult<*>.isWorthAnother(resend: Set<ErrorCode>?) =
        when (this) {
            is CallResult.Answered -> false
            is CallResult.Refused -> error.code in (resend ?: resendable)
            is CallResult.Unreachable -> resend == null || !mayHaveArrived
        }

    private companion object {
        const val ROUNDS = 20

        /** A change may be sent again under its change id after these. */
        val resendable = setOf(ErrorCode.NO_LEADER, ErrorCode.OUTCOME_UNKNOWN)
        val PAUSE = 250.milliseconds
        val CALL_TIME = 2.seconds

        /** A little over the longest wait until a change is in force and is forwarded. */
        val CHANGE_TIME = 6.seconds

        /** A little over the longest time that a learner may take to catch up. */
        val MEMBERSHIP_TIME = 70.seconds
    }
}
