package io.bluebellramp.jobs.node

import io.bluebellramp.core.Address
import io.bluebellramp.core.IncarnationId
import io.bluebellramp.core.JobId
import io.bluebellramp.core.SystemClock
import io.bluebellramp.core.TargetId
import io.bluebellramp.core.WireJson
import io.bluebellramp.core.ZoneId
import io.bluebellramp.jobs.Caller
import io.bluebellramp.jobs.FakeTarget
import io.bluebellramp.jobs.JobAnswer
import io.bluebellramp.jobs.QUEUE
import io.bluebellramp.jobs.SERVICE
import io.bluebellramp.jobs.TargetDescription
import io.bluebellramp.jobs.capacityReport
import io.bluebellramp.jobs.request
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
import org.junit.jupiter.api.Nested
import java.net.ServerSocket
import java.util.concurrent.CompletableFuture
import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.TimeUnit
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertNotNull
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Tests nodes on real sockets whose event loop stands still, as in a process that is stopped by a signal. */
class PausedNodeTest {
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

    /** Waits until [condition] is true on the loop of the node. */
    private fun awaitOnLoop(condition: () -> Boolean) {
        repeat(250) {
            if (onLoop(condition)) return
            TimeUnit.MILLISECONDS.sleep(20)
        }
        error("the condition was not met within 5 s")
    }

    /** The other end of a link. It sends frames steadily, so that the link is not taken for a silent one. */
    private inner class Peer(
        private val greeting: ReportFrame? = null,
    ) : LinkListener {
        val links = LinkedBlockingQueue<FrameLink>()
        val frames = LinkedBlockingQueue<DispatchFrame>()

        override fun onOpen(link: FrameLink) {
            greeting?.let { link.send(WireJson.encodeToString(it)) }
            peerLoop.every(50.milliseconds) { link.send("{}") }
            links += link
        }

        override fun onFrame(
            link: FrameLink,
            text: String,
        ) {
            if (greeting != null) frames += WireJson.decodeFromString<DispatchFrame>(text)
        }

        fun nextLink() = assertNotNull(links.poll(5, TimeUnit.SECONDS), "no link was opened")
    }

    @Nested
    inner class Agent {
        private val target = FakeTarget()
        private val node = AgentNode(settings, loop, SystemClock, target)
        private val entry = Peer()

        private fun dispatch(job: String): String {
            val dispatch =
                StepDispatch(
                    job = JobId(job),
                    step = 0,
                    tasks = listOf(0),
                    attempt = 1,
                    queue = QUEUE.name,
                    service = SERVICE,
                    milliCpu = 1000,
                    memoryMb = 10,
                    spec = "s",
                    startWithinMillis = 2000,
                    estimateMillis = 100,
                )
            return WireJson.encodeToString(DispatchFrame(dispatches = listOf(dispatch)))
        }

        // Guards against a task that starts at a resumed agent after the entry has sent it elsewhere.
        @Test
        fun `a dispatch that arrived while the agent was paused does not start`() {
            FrameServer(peerLoop, SystemClock, entryAddress.host, entryAddress.port, entry).start()
            onLoop {
                node.start()
                node.targetAnnounced(
                    TargetDescription(TargetId("t1"), 1, 1, SERVICE, false, milliCpu = 32_000, memoryMb = 1000, address = "10.0.0.1:1"),
                )
                target.answerLease()
            }
            val link = entry.nextLink()
            peerLoop.execute { link.send(dispatch("00000000000000a1")) }
            awaitOnLoop { target.starts.size == 1 }
            loop.execute {
                peerLoop.execute { link.send(dispatch("00000000000000a2")) }
                TimeUnit.MILLISECONDS.sleep(600)
            }
            TimeUnit.MILLISECONDS.sleep(900)
            assertEquals(listOf("00000000000000a1"), onLoop { target.starts.map { "${it.order.run.task.job}" } })
        }
    }

    @Nested
    inner class Entry {
        private val node = EntryNode(settings, loop, SystemClock)
        private val agentHello = ProcessHello("agent", ProcessRole.AGENT, IncarnationId.create(), ZoneId("z"), Address("127.0.0.1:1"))
        private val agent = Peer(ReportFrame(hello = agentHello, room = capacityReport()))

        // Guards against a job that a resumed entry starts on links which its agents have given up.
        @Test
        fun `a job that is read after a pause is refused until the agents have connected again`() {
            onLoop { node.start() }
            val dialer = FrameDialer(peerLoop, SystemClock, entryAddress, 5.seconds, agent)
            peerLoop.execute { dialer.start() }
            agent.nextLink()
            awaitOnLoop { node.agents == 1 }
            val answer = CompletableFuture<JobAnswer>()
            loop.execute {
                TimeUnit.MILLISECONDS.sleep(600)
                node.submit(request(), Caller { answer.complete(it) })
            }
            assertIs<JobAnswer.NotRun>(answer.get(5, TimeUnit.SECONDS))
            TimeUnit.MILLISECONDS.sleep(200)
            assertEquals(emptyList(), agent.frames.flatMap { it.dispatches })
        }
    }
}
