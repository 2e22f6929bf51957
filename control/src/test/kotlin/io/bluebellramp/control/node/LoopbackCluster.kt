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
 * Control processes on loopback, each with its own address and folder. The first three are the seeds.
 */
internal class LoopbackCluster(
    private val folder: Path,
    count: Int,
    private val toleratedLosses: Int = 1,
    private val withoutDisk: Set<Int> = emptySet(),
) : AutoCloseable {
    private class RunningControl(
        val node: ControlNode,
        val loop: EventLoop,
    )

    val hosts = List(count) { "127.0.0.${FIRST_HOST + it}" }
    private val port = (FIRST_PORT..LAST_PORT).shuffled().first { isFree(it + 1) }
    private val running = LinkedHashMap<String, RunningControl>()

    fun start(
        host: String,
        isFounding: Boolean = true,
    ) {
        val settings =
            NodeSettings(
                node = host,
                zone = ZoneId("z"),
                host = host,
                seeds = hosts.take(SEED_COUNT).map { Address("$it:1") },
                firstPort = port,
                lastPort = port + 10,
                dataFolder = if (hosts.indexOf(host) in withoutDisk) "" else folder.resolve(host).toString(),
                founding = isFounding,
                toleratedLosses = toleratedLosses,
            )
        val loop = EventLoop()
        val node = ControlNode(settings, loop, SystemClock)
        running[host] = RunningControl(node, loop)
        loop.execute { node.start() }
    }

    fun stop(host: String) {
        val stopped = checkNotNull(running.remove(host))
        stopped.node.close()
        stopped.loop.close()
        TimeUnit.MILLISECONDS.sleep(500)
    }

    fun deleteDisk(host: String) {
        check(host !in running) { "$host runs" }
        folder.resolve(host).toFile().deleteRecursively()
    }

    /** Takes [zone] out of service at the leader; returns the zones out of service, or null if the outcome is unknown. */
    fun takeZoneOut(zone: String): List<ZoneId>? = takeZoneOutAtLeader(zone)?.second

    /** Returns the host of the leader, found by taking [zone] out of service. */
    fun leader(zone: String): String? = takeZoneOutAtLeader(zone)?.first

    private fun isFree(port: Int) = runCatching { ServerSocket(port).close() }.isSuccess

    private fun takeZoneOutAtLeader(zone: String): Pair<String, List<ZoneId>>? =
        running.entries.firstNotNullOfOrNull { (host, control) ->
            val result = runBlocking { control.node.setZone(ZoneId(zone), isOut = true) }
            (result as? OperatorResult.Done)?.let { host to it.state.zonesOut }
        }

    /**
     * Returns whether all processes list the member at [host] as a voter under a new id, which is neither that of a founder nor [formerId],
     * from a confirmed change: until then a majority of the former voters is needed too.
     */
    fun isVoterAgain(
        host: String,
        formerId: String = "c-$host",
    ) = running.values.all { control ->
        val ids =
            control.node.voters
                .filter { it.address.host == host }
                .map { it.member.value }
        val isConfirmed = control.node.logStatus?.isJoint == false
        isConfirmed && ids.size == 1 && ids.single() != "c-$host" && ids.single() != formerId
    }

    /** Returns whether all processes with a disk know [count] voters from a confirmed change. */
    fun allKnowVoters(count: Int) =
        running.filterKeys { hosts.indexOf(it) !in withoutDisk }.values.all {
            it.node.voters.size == count && it.node.logStatus?.isJoint == false
        }

    /** Returns the result of a read at [host]. */
    fun read(host: String): OperatorResult = runBlocking { running.getValue(host).node.readCatalog() }

    /** Returns the id of the voter at [host], as that process knows it. */
    fun voterId(host: String): String? =
        running[host]
            ?.node
            ?.voters
            ?.find { it.address.host == host }
            ?.member
            ?.value

    fun eventually(
        what: String,
        timeout: Duration = DEFAULT_TIMEOUT,
        holds: () -> Boolean,
    ) {
        val end = System.nanoTime() + timeout.inWholeNanoseconds
        while (System.nanoTime() < end) {
            if (holds()) return
            TimeUnit.MILLISECONDS.sleep(50)
        }
        error("condition not met within $timeout: $what\n" + describe())
    }

    private fun describe() = running.entries.joinToString("\n") { (host, control) -> "$host ${control.node.logStatus}" }

    override fun close() = running.keys.toList().forEach { stop(it) }

    companion object {
        private const val FIRST_HOST = 11
        private const val SEED_COUNT = 3

        /** Below the kernel's ephemeral ports, so that no outgoing connection takes the port of a stopped control. */
        private const val FIRST_PORT = 20_000
        private const val LAST_PORT = 30_000

        /** Covers the time until a silent voter is replaced, and the four election timeouts that a member with an empty disk waits. */
        val DEFAULT_TIMEOUT = 30.seconds
    }
}
