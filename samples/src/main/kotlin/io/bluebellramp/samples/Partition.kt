package io.bluebellramp.samples

import org.tinylog.kotlin.Logger
import java.nio.file.Files
import java.nio.file.Path
import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.thread
import kotlin.concurrent.withLock

/**
 * The hosts that are cut off now: those that [file] lists, one IP number a line. No file means none.
 *
 * Replace the file by a rename, so that it is never read half written.
 */
internal class Partition(
    private val file: Path,
) {
    private val lock = ReentrantLock()
    private val changed = lock.newCondition()
    private var hosts = emptySet<String>()

    /** The IP numbers that are cut off as of the last reading of the file. */
    val cutOff: Set<String> get() = lock.withLock { hosts }

    /** Follows the file until the program ends. */
    fun follow() {
        thread(isDaemon = true, name = "partition") {
            while (true) {
                note(read())
                Thread.sleep(READ_PERIOD_MILLIS)
            }
        }
    }

    /** Returns once neither [from] nor [to] is cut off. */
    fun awaitOpen(
        from: String,
        to: String,
    ) = lock.withLock {
        while (from in hosts || to in hosts) changed.await()
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

    private fun note(now: Set<String>) =
        lock.withLock {
            if (now != hosts) {
                Logger.info("cut off: ${now.joinToString().ifEmpty { "none" }}")
                hosts = now
                changed.signalAll()
            }
        }

    private companion object {
        const val READ_PERIOD_MILLIS = 20L
    }
}
