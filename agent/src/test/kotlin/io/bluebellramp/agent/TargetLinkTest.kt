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

private const val HANG_SECONDS = 60L

@Timeout(HANG_SECONDS)
class TargetLinkTest {
    private val link = TargetLink(SystemClock)
    private val call = TargetCall(SubmissionId.create(ManualClock.BASE), task = 1, attempt = 0, kind = DispatchKind.TASK, payload = "p")
    private val whole = answer(task = 1)

    @AfterEach
    fun close() = link.close()

    @Nested
    inner class `a call` {
        @Test
        fun `is sent once when a kept connection closes after the request was read`() =
            RawTarget { if (it == 1) RawAnswer.ok(whole) else RawAnswer.CLOSE }.use { target ->
                assertIs<CallResult.Done>(run(target.address))
                assertIs<CallResult.Unknown>(run(target.address))
                assertEquals(2, target.requests.get(), "one request for each call")
            }

        @Test
        fun `is sent once when a fresh connection closes after the request was read`() =
            RawTarget { RawAnswer.CLOSE }.use { target ->
                assertIs<CallResult.Unknown>(run(target.address))
                assertEquals(1, target.requests.get())
            }

        @Test
        fun `has no result when the answer is cut short`() =
            RawTarget { RawAnswer.ok(whole, length = whole.length + 1, keeps = false) }.use { target ->
                assertIs<CallResult.Unknown>(run(target.address))
                assertEquals(1, target.requests.get())
            }

        @Test
        fun `has no result when the answer is that of another task`() =
            RawTarget { RawAnswer.ok(answer(task = 2)) }.use { target ->
                assertEquals(CallResult.Unknown(TargetLink.CROSSED), run(target.address))
            }

        @Test
        fun `has no result when the target takes too long`() =
            RawTarget { RawAnswer.SILENCE }.use { target ->
                assertEquals(CallResult.Unknown("timeout"), run(target.address, timeout = 200.milliseconds))
                assertEquals(1, target.requests.get())
            }

        @Test
        fun `has failed when the target says so`() =
            RawTarget { RawAnswer("HTTP/1.1 500 Broken\r\ncontent-length: 2\r\n\r\nno", keeps = true) }.use { target ->
                assertEquals(CallResult.Failed("status 500: no"), run(target.address))
            }

        @Test
        fun `is not sent when nothing listens`() {
            assertEquals(CallResult.NotSent("connection_refused"), run(freeAddress()))
        }

        @Test
        fun `is not sent once the permit has run out`() =
            RawTarget { RawAnswer.ok(whole) }.use { target ->
                assertEquals(CallResult.NotSent("permit_ran_out"), run(target.address, before = SystemClock.monotonic()))
                assertEquals(0, target.requests.get())
            }
    }

    private fun run(
        address: Address,
        timeout: Duration = 5.seconds,
        before: Duration = SystemClock.monotonic() + 5.seconds,
    ) = runBlocking { link.call(AgentAction.Start(call, address, before, timeout)).result }

    private fun answer(task: Int) =
        WireJson.encodeToString(TargetAnswer.serializer(), TargetAnswer(call.submission, task, call.attempt, "result"))
}
