package io.bluebellramp.control.node

import io.bluebellramp.core.Address
import io.bluebellramp.core.SystemClock
import io.bluebellramp.core.ZoneId
import io.bluebellramp.messages.NodeSettings
import io.bluebellramp.transport.EventLoop
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.io.TempDir
import java.net.ServerSocket
import java.nio.file.Path
import java.util.concurrent.TimeUnit
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.time.Duration.Companion.seconds

/** Three control processes on loopback, each at an address of its own. */
class ControlNodeTest {
    private class Started(
        val node: ControlNode,
        val loop: EventLoop,
    )

    @TempDir
    lateinit var folder: Path
    private val hosts = listOf("127.0.0.11", "127.0.0.12", "127.0.0.13")
    private val port =
        generateSequence { ServerSocket(0).use { it.localPort } }.first {
            it < 65_000 &&
                runCatching { ServerSocket(it + 1).close() }.isSuccess
        }
    private val running = HashMap<String, Started>()

    private fun start(
        host: String,
        isFounding: Boolean = true,
    ) {
        val settings =
            NodeSettings(
                node = host,
                zone = ZoneId("z"),
                host = host,
                seeds = hosts.map { Address("$it:1") },
                firstPort = port,
                lastPort = port + 10,
                dataFolder = folder.resolve(host).toString(),
                founding = isFounding,
            )
        val loop = EventLoop()
        val node = ControlNode(settings, loop, SystemClock)
        running[host] = Started(node, loop)
        loop.execute { node.start() }
    }

    private fun stop(host: String) {
        val stopped = checkNotNull(running.remove(host))
        stopped.node.close()
        stopped.loop.close()
        TimeUnit.MILLISECONDS.sleep(500)
    }

    @AfterEach
    fun stopAll() = running.keys.toList().forEach { stop(it) }

    /** Takes [zone] out through whoever leads; returns the zones out, or null if that is not certain. */
    private fun takeOut(zone: String): List<ZoneId>? =
        running.values.firstNotNullOfOrNull {
            (runBlocking { it.node.setZone(ZoneId(zone), isOut = true) } as? OperatorResult.Done)?.state?.zonesOut
        }

    /** Tells whether all name the member at [host] as a voter, under an id that is not that of a founder. */
    private fun isVoterAnew(host: String) =
        running.values.all { started ->
            val ids =
                started.node.voters
                    .filter { it.address.host == host }
                    .map { it.member.value }
            ids.size == 1 && ids.single() != "c-$host"
        }

    private fun eventually(
        what: String,
        holds: () -> Boolean,
    ) {
        val end = System.nanoTime() + LONGEST.inWholeNanoseconds
        while (System.nanoTime() < end) {
            if (holds()) return
            TimeUnit.MILLISECONDS.sleep(100)
        }
        error("it never came to pass: $what")
    }

    @Test
    fun `a member that lost its disk comes back at its address, and the others may lose one more then`() {
        hosts.forEach { start(it) }
        eventually("a zone is taken out") { takeOut("z1") != null }
        val lost = hosts[2]
        stop(lost)
        folder.resolve(lost).toFile().deleteRecursively()
        start(lost, isFounding = false)
        eventually("the member is a voter again") { isVoterAnew(lost) }
        stop(hosts[1])
        eventually("the two that are left agree") { takeOut("z2") != null }
        assertEquals(listOf("z1", "z2"), assertIs<List<ZoneId>>(takeOut("z2")).map { it.value })
    }

    private companion object {
        /** A voter must be silent for 5 s, and a member with an empty disk is silent for four election times before it joins. */
        val LONGEST = 30.seconds
    }
}
