package io.bluebellramp.runtime

import kotlinx.serialization.json.JsonPrimitive
import org.tinylog.configuration.Configuration
import java.io.FileDescriptor
import java.io.FileOutputStream
import java.io.IOException
import java.io.OutputStream
import java.time.Instant
import java.util.concurrent.ArrayBlockingQueue
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicLong

/**
 * Log lines as JSON objects on an output that may be slow: one thread writes them in batches, and a line that finds the queue full is
 * dropped and counted. Callers never wait.
 *
 * @param capacity lines that may wait
 * @param now tells the time of a line
 */
class JsonLines(
    private val out: OutputStream,
    private val capacity: Int = CAPACITY,
    private val now: () -> Instant = Instant::now,
) {
    /** Name of the VM that each line carries, once it is known. */
    @Volatile
    var node: String = ""

    private val waiting = ArrayBlockingQueue<String>(capacity)
    private val dropped = AtomicLong()

    /** Lines dropped so far because too many waited. */
    val droppedLines: Long get() = dropped.get()
    private var reported = 0L

    /** Adds a line. Empty fields are left out. */
    fun add(
        level: String,
        message: String,
        fields: Map<String, Any> = emptyMap(),
    ) {
        if (!waiting.offer(line(level, message, fields))) dropped.incrementAndGet()
    }

    /** Starts the thread that writes. */
    fun start() {
        Thread(::writeForEver, "log-lines").apply { isDaemon = true }.start()
    }

    /** Writes what waits; call it before the process ends. */
    @Synchronized
    fun flush() {
        val batch = ArrayList<String>()
        waiting.drainTo(batch)
        val lost = dropped.get()
        if (lost > reported) batch += line("WARN", "log lines dropped", mapOf("count" to lost - reported))
        reported = lost
        if (batch.isEmpty()) return
        try {
            out.write(batch.joinToString(separator = "").encodeToByteArray())
            out.flush()
        } catch (_: IOException) {
            // Nobody reads the log any more, so there is nowhere to say so.
            dropped.addAndGet(batch.size.toLong())
        }
    }

    private fun writeForEver() {
        while (true) {
            TimeUnit.MILLISECONDS.sleep(BATCH_MILLIS)
            flush()
        }
    }

    private fun line(
        level: String,
        message: String,
        fields: Map<String, Any>,
    ): String {
        val text = StringBuilder(LINE_CHARACTERS)
        text
            .append("{\"time\":\"")
            .append(now())
            .append("\",\"level\":\"")
            .append(level)
            .append("\",\"message\":")
        text.append(quoted(message))
        if (node.isNotEmpty()) text.append(",\"node\":").append(quoted(node))
        for ((name, value) in fields) {
            val content = value.toString()
            if (content.isEmpty()) continue
            text.append(",\"").append(name).append("\":")
            if (value is Number || value is Boolean) text.append(content) else text.append(quoted(content))
        }
        return text.append("}\n").toString()
    }

    private fun quoted(text: String) = JsonPrimitive(text).toString()

    /** The lines of this process. */
    companion object {
        /** Lines that may wait; some seconds of the busiest process. */
        private const val CAPACITY = 4000

        /** Time between two writes (ms); one write for many lines. */
        private const val BATCH_MILLIS = 100L
        private const val LINE_CHARACTERS = 256

        /** The lines on standard output, or null if the log goes elsewhere. */
        @Volatile
        var installed: JsonLines? = null
            private set

        /** Sends the log to standard output from now on. Call it before any library logs its first line. */
        fun install() {
            Configuration.set("writer", "json lines")
            val lines = JsonLines(FileOutputStream(FileDescriptor.out))
            installed = lines
            lines.start()
            Runtime.getRuntime().addShutdownHook(Thread(lines::flush))
        }
    }
}
