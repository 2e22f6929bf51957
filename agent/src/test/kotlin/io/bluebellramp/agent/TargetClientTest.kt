package io.bluebellramp.agent

import io.bluebellramp.core.Address
import io.bluebellramp.core.SubmissionId
import io.bluebellramp.core.SystemClock
import io.bluebellramp.core.WireJson
import io.bluebellramp.messages.DispatchKind
import io.bluebellramp.messages.TargetAnswer
import io.bluebellramp.messages.TargetCall
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Timeout
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private const val TEST_TIMEOUT_SECONDS = 60L

@Timeout(TEST_TIMEOUT_SECONDS)
class TargetClientTest {
    private val client = TargetClient(SystemClock)
    private val call = TargetCall(SubmissionId.create(ManualClock.BASE), task = 1, attempt = 0, kind = DispatchKind.TASK, payload = "p")
    private val completeAnswer = answer(task = 1)

    @AfterEach
    fun close() = client.close()

    @Nested
    inner class `a call` {
        @Test
        fun `is sent once when a reused connection closes after the request was read`() =
            RawTarget { if (it == 1) RawResponse.ok(completeAnswer) else RawResponse.CLOSE }.use { target ->
                assertIs<CallResult.Done>(run(target.address))
                assertIs<CallResult.Unknown>(run(target.address))
                assertEquals(2, target.requests.get(), "one request per call")
            }

        @Test
        fun `is sent once when a new connection closes after the request was read`() =
            RawTarget { RawResponse.CLOSE }.use { target ->
                assertIs<CallResult.Unknown>(run(target.address))
                assertEquals(1, target.requests.get())
            }

        @Test
        fun `has an unknown outcome when the answer is truncated`() =
            RawTarget { RawResponse.ok(completeAnswer, length = completeAnswer.length + 1, keepOpen = false) }.use { target ->
                assertIs<CallResult.Unknown>(run(target.address))
                assertEquals(1, target.requests.get())
            }

        @Test
        fun `has an unknown outcome when the answer belongs to another task`() =
            RawTarget { RawResponse.ok(answer(task = 2)) }.use { target ->
                assertEquals(CallResult.Unknown(TargetClient.MISMATCHED_ANSWER), run(target.address))
            }

        @Test
        fun `has an unknown outcome when the target does not answer in time`() =
            RawTarget { RawResponse.NO_RESPONSE }.use { target ->
                assertEquals(CallResult.Unknown("timeout"), run(target.address, timeout = 200.milliseconds))
                assertEquals(1, target.requests.get())
            }

        @Test
        fun `fails when the target answers with an error status`() =
            RawTarget { RawResponse("HTTP/1.1 500 Broken\r\ncontent-length: 2\r\n\r\nno", keepOpen = true) }.use { target ->
                assertEquals(CallResult.Failed("status 500: no"), run(target.address))
            }

        @Test
        fun `is not sent when the connection is refused`() {
            assertEquals(CallResult.NotSent("connection_refused"), run(freeAddress()))
        }

        @Test
        fun `is not sent once the permit has expired`() =
            RawTarget { RawResponse.ok(completeAnswer) }.use { target ->
                assertEquals(CallResult.NotSent("permit_ran_out"), run(target.address, sendDeadline = SystemClock.monotonic()))
                assertEquals(0, target.requests.get())
            }
    }

    private fun run(
        address: Address,
        timeout: Duration = 5.seconds,
        sendDeadline: Duration = SystemClock.monotonic() + 5.seconds,
    ) = runBlocking { client.call(AgentAction.CallTarget(call, address, sendDeadline, timeout)).result }

    private fun answer(task: Int) =
        WireJson.encodeToString(TargetAnswer.serializer(), TargetAnswer(call.submission, task, call.attempt, "result"))
}
