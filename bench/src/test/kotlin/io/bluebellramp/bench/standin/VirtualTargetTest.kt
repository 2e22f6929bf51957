package io.bluebellramp.bench.standin

import io.bluebellramp.core.SubmissionId
import io.bluebellramp.messages.DispatchKind
import io.bluebellramp.messages.TargetCall
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.test.currentTime
import kotlinx.coroutines.test.runTest
import java.time.Instant
import kotlin.test.Test
import kotlin.test.assertEquals

@OptIn(ExperimentalCoroutinesApi::class)
class VirtualTargetTest {
    private val counts = StartCounts()
    private val job = SubmissionId.create(Instant.EPOCH)

    @Test
    fun `sleeps for the given time and echoes`() =
        runTest {
            assertEquals("12-3", target().run(call(task = 0, payload = "sleep:700;echo:12-3")))
            assertEquals(700, currentTime)
        }

    @Test
    fun `ends at once when it does not sleep`() =
        runTest {
            assertEquals("a", target(executesSleeps = false).run(call(task = 0, payload = "sleep:700;echo:a")))
            assertEquals(0, currentTime)
        }

    @Test
    fun `counts a task that starts twice`() =
        runBlocking {
            val target = target()
            target.run(call(task = 0))
            target.run(call(task = 1))
            target.run(call(task = 1, attempt = 1))
            target.run(call(task = 1, kind = DispatchKind.REQUEST))
            assertEquals(mapOf(StartedCall(job, DispatchKind.TASK, 1) to 2), counts.repeated)
            assertEquals("starts: 2 once, 1 twice", counts.summary())
        }

    @Test
    fun `counts tasks above the slots but not requests`() =
        runTest {
            val target = target(slots = 2)
            val kinds = listOf(DispatchKind.TASK, DispatchKind.TASK, DispatchKind.REQUEST, DispatchKind.TASK)
            kinds.mapIndexed { task, kind -> async { target.run(call(task, "sleep:5", kind = kind)) } }.awaitAll()
            assertEquals(1, target.startedAboveSlots)
            assertEquals(0, target.running)
        }

    private fun target(
        slots: Int = 8,
        executesSleeps: Boolean = true,
    ) = VirtualTarget(counts, slots, executesSleeps)

    private fun call(
        task: Int,
        payload: String = "",
        attempt: Int = 0,
        kind: DispatchKind = DispatchKind.TASK,
    ) = TargetCall(job, task, attempt, kind, payload)
}
