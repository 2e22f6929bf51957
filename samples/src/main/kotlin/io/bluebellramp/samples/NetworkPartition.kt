package io.bluebellramp.samples

import org.tinylog.kotlin.Logger
import java.nio.file.Files
import java.nio.file.Path
import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.thread
import kotlin.concurrent.withLock

/**
 * A simulated network partition: the hosts that [file] lists are isolated, one IP address per line. Without a file none is isolated.
 *
 * Replace the file atomically, by a rename, so that it is never read half written.
 */
internal class NetworkPartition(
    private val file: Path,
) {
    private val lock = ReentrantLock()
    private val hostsChanged = lock.newCondition()
    private var isolated = emptySet<String>()

    /** The IP addresses that were isolated when the file was last read. */
    val isolatedHosts: Set<String> get() = lock.withLock { isolated }

    /** Starts a thread that reads the file every [READ_PERIOD_MILLIS] until the program ends. */
    fun startWatching() {
        thread(isDaemon = true, name = "partition") {
            while (true) {
                updateHosts(read())
                Thread.sleep(READ_PERIOD_MILLIS)
            }
        }
    }

    /** Waits until neither [from] nor [to] is isolated. */
    fun awaitReachable(
        from: String,
        to: String,
    ) = lock.withLock {
        while (from in isolated || to in isolated) hostsChanged.await()
    }

    private fun read(): Set<String> =
        if (Files.exists(file)) {
            Files
                .readAllLines(file)
                .map { it.trim() }
                .filter { it.isNotEmpty() }
                .toSet()
        } else {
            emptySet()
        }

    private fun updateHosts(current: Set<String>) =
        lock.withLock {
            if (current != isolated) {
                Logger.info("isolated hosts: ${current.joinToString().ifEmpty { "none" }}")
                isolated = current
                hostsChanged.signalAll()
            }
        }

    private companion object {
        const val READ_PERIOD_MILLIS = 20L
    }
}
