package io.bluebellramp.jobs

import io.bluebellramp.core.JobId
import io.bluebellramp.messages.StepDispatch
import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertEquals

class DispatchOutboxTest {
    private val outbox = DispatchOutbox()
    private val first = JobId("00000000000000a1")
    private val second = JobId("00000000000000a2")

    private fun dispatch(job: JobId) =
        StepDispatch(
            job = job,
            step = 0,
            tasks = listOf(0),
            attempt = 1,
            queue = QUEUE.name,
            service = SERVICE,
            milliCpu = 1000,
            memoryMb = 10,
            spec = "s",
            startWithinMillis = 70,
            estimateMillis = 100,
        )

    /** Returns what the agent does, in order: frame by frame, stops and cancels before dispatches. */
    private fun applied() =
        outbox.take().flatMap { frame ->
            frame.stops.map { "stop $it" } + frame.cancels.map { "cancel $it" } + frame.dispatches.map { "dispatch ${it.job}" }
        }

    @Nested
    inner class OneJob {
        // Guards against tasks that start after the order to stop them, which nothing stops again.
        @Test
        fun `a stop is not overtaken by the dispatch before it`() {
            outbox.dispatch(dispatch(first))
            outbox.stop(first)
            assertEquals(listOf("dispatch $first", "stop $first"), applied())
        }

        // Guards against a cancelled job that runs to its end.
        @Test
        fun `a cancel is not overtaken by the dispatch before it`() {
            outbox.dispatch(dispatch(first))
            outbox.cancel(first)
            assertEquals(listOf("dispatch $first", "cancel $first"), applied())
        }

        @Test
        fun `a dispatch after a stop is not stopped`() {
            outbox.stop(first)
            outbox.dispatch(dispatch(first))
            assertEquals(listOf("stop $first", "dispatch $first"), applied())
        }

        @Test
        fun `a job that is resubmitted between two stops keeps its order`() {
            outbox.dispatch(dispatch(first))
            outbox.stop(first)
            outbox.dispatch(dispatch(first))
            outbox.stop(first)
            assertEquals(listOf("dispatch $first", "stop $first", "dispatch $first", "stop $first"), applied())
        }
    }

    @Nested
    inner class SeveralJobs {
        @Test
        fun `decisions on different jobs share a frame`() {
            outbox.dispatch(dispatch(first))
            outbox.stop(second)
            outbox.dispatch(dispatch(first))
            assertEquals(1, outbox.take().size)
        }

        @Test
        fun `taken frames are not sent again`() {
            outbox.dispatch(dispatch(first))
            outbox.take()
            assertEquals(emptyList(), outbox.take())
        }
    }
}
