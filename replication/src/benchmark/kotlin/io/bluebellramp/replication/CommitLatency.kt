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
private const val BASELINE_SYNCS = 300

/**
 * Measures the commit latency of three members in one process that store their logs in files. Arguments: a new folder, commits per
 * second, and the duration in seconds.
 */
fun main(args: Array<String>) =
    runBlocking {
        val root = Files.createDirectories(Path.of(args[0]))
        val commitsPerSecond = args[1].toInt()
        val seconds = args[2].toInt()
        report("sync alone", measureSyncs(root.resolve("alone")))
        val memberSyncNanos = ConcurrentLinkedQueue<Long>()
        val listener =
            object : LogListener {
                override fun onSync(nanos: Long) {
                    memberSyncNanos += nanos
                }
            }
        val cluster = FileCluster(root, LogSettings(), listener)
        listOf("a", "b", "c").forEach { cluster.start(it) }
        repeat(commitsPerSecond.coerceAtLeast(20)) { cluster.propose("warm up $it") }
        memberSyncNanos.clear()
        val leader = cluster.leader()
        val startedNanos = System.nanoTime()
        val commits =
            (0 until commitsPerSecond * seconds).map { commandNumber ->
                val dueNanos = startedNanos + commandNumber * NANOS_PER_SECOND / commitsPerSecond
                delay((dueNanos - System.nanoTime()).coerceAtLeast(0).nanoseconds)
                async {
                    val result = leader.propose("$commandNumber".padEnd(COMMAND_CHARACTERS, 'x'))
                    check(result is ProposalResult.Applied) { "$result" }
                    System.nanoTime() - dueNanos
                }
            }
        report("commit at $commitsPerSecond/s", commits.awaitAll())
        report("sync in the members", memberSyncNanos.toList())
        cluster.stopAll()
    }

/** Returns how long each append and sync of one record takes without any other load (ns). */
private fun measureSyncs(file: Path): List<Long> =
    FileChannel.open(file, CREATE_NEW, WRITE).use { channel ->
        List(BASELINE_SYNCS) {
            val startedNanos = System.nanoTime()
            channel.write(ByteBuffer.allocate(COMMAND_CHARACTERS))
            channel.force(false)
            System.nanoTime() - startedNanos
        }
    }

private fun report(
    label: String,
    nanos: List<Long>,
) {
    val sorted = nanos.sorted()
    val percentiles =
        listOf(0.5, 0.9, 0.99, 1.0).joinToString { quantile ->
            val value = sorted[((sorted.size - 1) * quantile).toInt()]
            "p%.0f %.2f ms".format(quantile * 100, value / 1e6)
        }
    println("$label: ${sorted.size} samples, $percentiles")
}
