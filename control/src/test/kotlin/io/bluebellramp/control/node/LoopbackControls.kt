package io.bluebellramp.control.node

import io.bluebellramp.core.Address
import io.bluebellramp.core.SystemClock
import io.bluebellramp.core.ZoneId
import io.bluebellramp.messages.NodeSettings
import io.bluebellramp.transport.EventLoop
import kotlinx.coroutines.runBlocking
import java.net.ServerSocket
import java.nio.file.Path
import java.util.concurrent.TimeUnit
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Control processes on loopback, each at an address and with a folder of its own. The first three are the seeds.
 */
internal class LoopbackControls(
    private val folder: Path,
    count: Int,
    private val toleratedLosses: Int = 1,
    private val withoutDisk: Set<Int> = emptySet(),
) : AutoCloseable {
    private class Started(
        val node: ControlNode,
        val loop: EventLoop,
    )

    val hosts = List(count) { "127.0.0.${FIRST_HOST + it}" }
    private val port = (FIRST_PORT..LAST_PORT).shuffled().first { isFree(it + 1) }
    private val running = LinkedHashMap<String, Started>()

    fun start(
        host: String,
        isFounding: Boolean = true,
    ) {
        val settings =
            NodeSettings(
                node = host,
                zone = ZoneId("z"),
                host = host,
                seeds = hosts.take(SEEDS).map { Address("$it:1") },
                firstPort = port,
                lastPort = port + 10,
                dataFolder = if (hosts.indexOf(host) in withoutDisk) "" else folder.resolve(host).toString(),
                founding = isFounding,
                toleratedLosses = toleratedLosses,
            )
        val loop = EventLoop()
        val node = ControlNode(settings, loop, SystemClock)
        running[host] = Started(node, loop)
        loop.execute { node.start() }
    }

    fun stop(host: String) {
        val stopped = checkNotNull(running.remove(host))
        stopped.node.close()
        stopped.loop.close()
        TimeUnit.MILLISECONDS.sleep(500)
    }

    fun loseDisk(host: String) {
        check(host !in running) { "$host runs" }
        folder.resolve(host).toFile().deleteRecursively()
    }

    /** Takes [zone] out through whoever leads; returns the zones out, or null if that is not certain. */
    fun takeOut(zone: String): List<ZoneId>? = leaderAnd(zone)?.second

    /** Returns the host of the process that leads. */
    fun leader(zone: String): String? = leaderAnd(zone)?.first

    private fun isFree(port: Int) = runCatching { ServerSocket(port).close() }.isSuccess

    private fun leaderAnd(zone: String): Pair<String, List<ZoneId>>? =
        running.entries.firstNotNullOfOrNull { (host, started) ->
            val result = runBlocking { started.node.setZone(ZoneId(zone), isOut = true) }
            (result as? OperatorResult.Done)?.let { host to it.state.zonesOut }
        }

    /**
     * Tells whether all name the member at [host] as a voter, under an id that is not that of a founder or of [former], by a change that is
     * confirmed: until then a majority of the former voters is needed too.
     */
    fun isVoterAnew(
        host: String,
        former: String = "c-$host",
    ) = running.values.all { started ->
        val ids =
            started.node.voters
                .filter { it.address.host == host }
                .map { it.member.value }
        val isConfirmed = started.node.logStatus?.isJoint == false
        isConfirmed && ids.size == 1 && ids.single() != "c-$host" && ids.single() != former
    }

    /** Tells whether all with a disk know [count] voters, by a change that is confirmed. */
    fun haveVoters(count: Int) =
        running.filterKeys { hosts.indexOf(it) !in withoutDisk }.values.all {
            it.node.voters.size == count && it.node.logStatus?.isJoint == false
        }

    /** Returns what the process at [host] answers a reading. */
    fun read(host: String): OperatorResult = runBlocking { running.getValue(host).node.read() }

    /** Returns the id of the voter at [host], as the process there knows it. */
    fun voterId(host: String): String? =
        running[host]
            ?.node
            ?.voters
            ?.find { it.address.host == host }
            ?.member
            ?.value

    fun eventually(
        what: String,
        longest: Duration = LONGEST,
        holds: () -> Boolean,
    ) {
        val end = System.nanoTime() + longest.inWholeNanoseconds
        while (System.nanoTime() < end) {
            if (holds()) return
            TimeUnit.MILLISECONDS.sleep(50)
        }
        error("it did not come to pass within $longest: $what\n" + describe())
    }

    private fun describe() = running.entries.joinToString("\n") { (host, started) -> "$host ${started.node.logStatus}" }

    override fun close() = running.keys.toList().forEach { stop(it) }

    companion object {
        private const val FIRST_HOST = 11
        private const val SEEDS = 3

        /** Below the ports that the kernel gives to outgoing connections, which could take the port of a control that is down. */
        private const val FIRST_PORT = 20_000
        private const val LAST_PORT = 30_000

        /** A voter must be silent for 5 s, and a member with an empty disk is silent for four election times before it joins. */
        val LONGEST = 30.seconds
    }
}
