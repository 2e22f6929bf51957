package io.bluebellramp.jobs.node

import io.bluebellramp.core.Address
import io.bluebellramp.core.IncarnationId
import io.bluebellramp.core.JobId
import io.bluebellramp.core.SystemClock
import io.bluebellramp.core.TargetId
import io.bluebellramp.core.WireJson
import io.bluebellramp.core.ZoneId
import io.bluebellramp.jobs.FakeTarget
import io.bluebellramp.jobs.QUEUE
import io.bluebellramp.jobs.SERVICE
import io.bluebellramp.jobs.TargetDescription
import io.bluebellramp.messages.DispatchFrame
import io.bluebellramp.messages.NodeSettings
import io.bluebellramp.messages.ProcessHello
import io.bluebellramp.messages.ProcessRole
import io.bluebellramp.messages.ReportFrame
import io.bluebellramp.messages.StepDispatch
import io.bluebellramp.transport.EventLoop
import io.bluebellramp.transport.FrameDialer
import io.bluebellramp.transport.FrameLink
import io.bluebellramp.transport.FrameServer
import io.bluebellramp.transport.LinkListener
import io.bluebellramp.transport.LinkPorts
import org.junit.jupiter.api.AfterEach
import java.net.ServerSocket
import java.util.concurrent.CompletableFuture
import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.TimeUnit
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertNotNull
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Tests on real sockets that an entry counts the frames of an agent, and that the agent lets leases run out without newer counts. */
class FrameCountTest {
    private val loop = EventLoop()
    private val peerLoop = EventLoop()
    private val firstPort = freePortPair()
    private val settings =
        NodeSettings(
            node = "n1",
            zone = ZoneId("z"),
            host = "127.0.0.1",
            seeds = listOf(Address("127.0.0.1:1")),
            firstPort = firstPort,
            lastPort = firstPort + 1,
        )
    private val entryAddress = LinkPorts.entry(settings, settings.host)

    @AfterEach
    fun close() {
        loop.close()
        peerLoop.close()
    }

    private fun freePortPair(): Int =
        generateSequence { ServerSocket(0).use { it.localPort } }.first { port ->
            port < 65_000 && runCatching { ServerSocket(port + 1).close() }.isSuccess
        }

    private fun <T> onLoop(action: () -> T): T {
        val result = CompletableFuture<T>()
        loop.execute { result.complete(action()) }
        return result.get(5, TimeUnit.SECONDS)
    }

    @Test
    fun `an entry tells an agent with each frame how many of its frames it has received`() {
        val node = EntryNode(settings, loop, SystemClock)
        val hello = ProcessHello("agent", ProcessRole.AGENT, IncarnationId.create(), ZoneId("z"), Address("127.0.0.1:1"))
        val counts = LinkedBlockingQueue<Long>()
        val agent =
            object : LinkListener {
                override fun onOpen(link: FrameLink) {
                    link.send(WireJson.encodeToString(ReportFrame(hello = hello)))
                    repeat(4) { link.send("{}") }
                }

                override fun onFrame(
                    link: FrameLink,
                    text: String,
                ) {
                    counts += WireJson.decodeFromString<DispatchFrame>(text).received
                }
            }
        onLoop { node.start() }
        peerLoop.execute { FrameDialer(peerLoop, SystemClock, entryAddress, 5.seconds, agent).start() }
        var count = 0L
        while (count < 5) {
            val next = assertNotNull(counts.poll(5, TimeUnit.SECONDS), "no frame after the count of $count")
            assertTrue(next in count..5, "a count of $next after $count")
            count = next
        }
    }

    // Guards against an agent that keeps runs at work for an entry which sends frames and receives none, and so waits only for a bounded time.
    @Test
    fun `an agent lets the leases of its target run out while the entry of a run counts no newer frame`() {
        val isWithheld = awaitWithheldLease(received = 1, atMost = 5.seconds)
        assertTrue(isWithheld, "the leases are extended")
    }

    // Guards against runs that end during an upgrade, while entries of the former version send no counts.
    @Test
    fun `an entry that counts no frames keeps its runs while it sends frames`() {
        val isWithheld = awaitWithheldLease(received = 0, atMost = 2.seconds)
        assertFalse(isWithheld, "the leases are not extended")
    }

    /** Runs a task of an entry that sends the count of [received] frames all the time. Returns whether a lease is withheld within [atMost]. */
    private fun awaitWithheldLease(
        received: Long,
        atMost: Duration,
    ): Boolean {
        val target = FakeTarget()
        val node = AgentNode(settings, loop, SystemClock, target)
        FrameServer(peerLoop, SystemClock, entryAddress.host, entryAddress.port, deafEntry(received)).start()
        onLoop {
            node.start()
            node.targetAnnounced(
                TargetDescription(TargetId("t1"), 1, 1, SERVICE, false, milliCpu = 32_000, memoryMb = 1000, address = "10.0.0.1:1"),
            )
            target.answerLease()
        }
        assertNotNull(onLoop { target.leases.last().until })
        val stopsBefore = CompletableFuture<Int>()
        var percent = 0
        loop.every(30.milliseconds) {
            val run =
                target.starts
                    .lastOrNull()
                    ?.order
                    ?.run ?: return@every
            target.answerLease(running = listOf(run), percent = ++percent)
            if (target.leases.last().until == null) stopsBefore.complete(target.stops.size)
        }
        val stops = stopsBefore.completeOnTimeout(-1, atMost.inWholeMilliseconds, TimeUnit.MILLISECONDS).get()
        assertTrue(stops <= 0, "a run that is being stopped withholds leases too")
        assertEquals(1, onLoop { target.starts.size })
        return stops == 0
    }

    private fun deafEntry(received: Long) =
        object : LinkListener {
            private val dispatch =
                StepDispatch(
                    job = JobId("00000000000000a1"),
                    step = 0,
                    tasks = listOf(0),
                    attempt = 1,
                    queue = QUEUE.name,
                    service = SERVICE,
                    milliCpu = 1000,
                    memoryMb = 10,
                    spec = "s",
                    startWithinMillis = 2000,
                    estimateMillis = 5000,
                )

            override fun onOpen(link: FrameLink) {
                link.send(WireJson.encodeToString(DispatchFrame(dispatches = listOf(dispatch), received = received)))
                peerLoop.every(50.milliseconds) { link.send(WireJson.encodeToString(DispatchFrame(received = received))) }
            }

            override fun onFrame(
                link: FrameLink,
                text: String,
            ) = Unit
        }
}
