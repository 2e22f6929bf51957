package io.bluebellramp.replication

import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import java.nio.ByteBuffer
import java.nio.channels.FileChannel
import java.nio.file.Files
import java.nio.file.Path
import java.nio.file.StandardOpenOption.CREATE_NEW
import java.nio.file.StandardOpenOption.WRITE
import java.util.concurrent.ConcurrentLinkedQueue
import kotlin.time.Duration.Companion.nanoseconds

private const val COMMAND_CHARACTERS = 300
private const val NANOS_PER_SECOND = 1_000_000_000L
private const val ALONE_SYNCS = 300

/** Measures commits of three members with files in one process. Arguments: a new folder, changes a second, seconds. */
fun main(args: Array<String>) =
    runBlocking {
        val root = Files.createDirectories(Path.of(args[0]))
        val rate = args[1].toInt()
        val seconds = args[2].toInt()
        report("sync alone", syncs(root.resolve("alone")))
        val memberSyncs = ConcurrentLinkedQueue<Long>()
        val listener =
            object : LogListener {
                override fun onSync(nanos: Long) {
                    memberSyncs += nanos
                }
            }
        val cluster = FileCluster(root, LogSettings(), listener)
        listOf("a", "b", "c").forEach { cluster.start(it) }
        repeat(rate.coerceAtLeast(20)) { cluster.propose("warm up $it") }
        memberSyncs.clear()
        val leader = cluster.leader()
        val begin = System.nanoTime()
        val commits =
            (0 until rate * seconds).map { number ->
                val due = begin + number * NANOS_PER_SECOND / rate
                delay((due - System.nanoTime()).coerceAtLeast(0).nanoseconds)
                async {
                    val result = leader.propose("$number".padEnd(COMMAND_CHARACTERS, 'x'))
                    check(result is ProposalResult.Applied) { "$result" }
                    System.nanoTime() - due
                }
            }
        report("commit at $rate/s", commits.awaitAll())
        report("sync in the members", memberSyncs.toList())
        cluster.stopAll()
    }

/** Appends and syncs one record at a time with nothing else going on. */
private fun syncs(file: Path): List<Long> =
    FileChannel.open(file, CREATE_NEW, WRITE).use { channel ->
        List(ALONE_SYNCS) {
            val begin = System.nanoTime()
            channel.write(ByteBuffer.allocate(COMMAND_CHARACTERS))
            channel.force(false)
            System.nanoTime() - begin
        }
    }

private fun report(
    what: String,
    nanos: List<Long>,
) {
    val sorted = nanos.sorted()
    val figures =
        listOf(0.5, 0.9, 0.99, 1.0).joinToString { share ->
            val value = sorted[((sorted.size - 1) * share).toInt()]
            "p%.0f %.2f ms".format(share * 100, value / 1e6)
        }
    println("$what: ${sorted.size} samples, $figures")
}
