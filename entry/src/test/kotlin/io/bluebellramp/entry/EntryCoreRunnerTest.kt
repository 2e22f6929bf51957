package io.bluebellramp.entry

import io.bluebellramp.core.Address
import io.bluebellramp.core.EntryId
import io.bluebellramp.core.IncarnationId
import io.bluebellramp.core.SiteId
import io.bluebellramp.core.SystemClock
import io.bluebellramp.core.ZoneId
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.CoroutineStart
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.Job
import kotlinx.coroutines.joinAll
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.CountDownLatch
import kotlin.test.Test
import kotlin.test.assertEquals

class EntryCoreRunnerTest {
    private val identity =
        EntryIdentity(EntryId("e1"), IncarnationId("run-1"), Address("127.0.0.1:1"), SiteId("vestland"), ZoneId("bergen-a"))
    private val scope = CoroutineScope(Dispatchers.Default)
    private val runner = EntryCoreRunner(EntryCore(identity, maxQueuedTasks = 1), SystemClock, scope)

    @Test
    fun `lease renewal runs before all other calls that wait for the core`() =
        runBlocking {
            val isBusy = CountDownLatch(1)
            val end = CountDownLatch(1)
            val order = CopyOnWriteArrayList<String>()
            val busy =
                scope.launch {
                    runner.withCore {
                        isBusy.countDown()
                        end.await()
                    }
                }
            isBusy.await()
            val others = List(100) { waiting { runner.withCore { order.add("other") } } }
            val lease = waiting { runner.withCoreFirst { order.add("lease") } }
            end.countDown()
            joinAll(busy, lease, *others.toTypedArray())
            assertEquals("lease" to 101, order.first() to order.size)
        }

    /** Starts [block], which is waiting for the core when this returns. */
    private fun waiting(block: suspend () -> Unit): Job = scope.launch(start = CoroutineStart.UNDISPATCHED) { block() }
}
