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
 * A log that writes each line as a JSON object to [out], which may be slow. Callers never block: one thread writes the lines in batches
 * from a bounded queue, and lines that do not fit into the queue are dropped and counted.
 *
 * @param capacity highest number of lines in the queue
 * @param now returns the time of a line
 */
class JsonLines(
    private val out: OutputStream,
    private val capacity: Int = MAX_QUEUED_LINES,
    private val now: () -> Instant = Instant::now,
) {
    /** Name of the VM, added to each line. Empty until it is known. */
    @Volatile
    var node: String = ""

    private val queue = ArrayBlockingQueue<String>(capacity)
    private val dropped = AtomicLong()

    /** Number of lines that were not written because the queue was full or the output failed. */
    val droppedLineCount: Long get() = dropped.get()
    private var reportedCount = 0L

    /** Lines are formatted on several threads; each sees a whole object. */
    @Volatile
    private var lastSecond = Second(0)

    /** Queues a line. Fields with an empty value are omitted. */
    fun add(
        level: String,
        message: String,
        fields: Map<String, Any> = emptyMap(),
    ) {
        queueLine(formatLine(level, message) { appendFields(fields) })
    }

    /** Queues [decision] as a line. */
    fun add(decision: Decision) {
        val fields = decision.fields
        val line =
            formatLine("INFO", "decision") {
                if ("decision" !in fields) appendField("decision", decision.kind)
                if ("reason" !in fields) appendField("reason", decision.reason)
                appendFields(fields)
            }
        queueLine(line)
    }

    private fun queueLine(line: String) {
        if (!queue.offer(line)) dropped.incrementAndGet()
    }

    /** Starts the thread that writes the queued lines. */
    fun start() {
        Thread(::flushPeriodically, "log-lines").apply { isDaemon = true }.start()
    }

    /** Writes all queued lines. Call it also before the process exits. */
    @Synchronized
    fun flush() {
        val batch = ArrayList<String>()
        queue.drainTo(batch)
        val droppedCount = dropped.get()
        if (droppedCount >
            reportedCount
        ) {
            batch += formatLine("WARN", "log lines dropped") { appendField("count", droppedCount - reportedCount) }
        }
        reportedCount = droppedCount
        if (batch.isEmpty()) return
        try {
            out.write(batch.joinToString(separator = "").encodeToByteArray())
            out.flush()
        } catch (_: IOException) {
            // The log output itself is closed, so the error cannot be logged.
            dropped.addAndGet(batch.size.toLong())
        }
    }

    private fun flushPeriodically() {
        while (true) {
            TimeUnit.MILLISECONDS.sleep(FLUSH_INTERVAL_MILLIS)
            flush()
        }
    }

    private inline fun formatLine(
        level: String,
        message: String,
        appendContent: StringBuilder.() -> Unit,
    ): String {
        val builder = StringBuilder(INITIAL_LINE_CHARACTERS)
        builder.append("{\"time\":\"").appendTime(now())
        builder.append("\",\"level\":\"").append(level).append("\",\"message\":")
        builder.appendQuoted(message)
        if (node.isNotEmpty()) builder.append(",\"node\":").appendQuoted(node)
        builder.appendContent()
        return builder.append("}\n").toString()
    }

    private fun StringBuilder.appendFields(fields: Map<String, Any>) = fields.forEach { (name, value) -> appendField(name, value) }

    private fun StringBuilder.appendField(
        name: String,
        value: Any,
    ) {
        val content = value.toString()
        if (content.isEmpty()) return
        append(",\"").append(name).append("\":")
        if (value is Number || value is Boolean) append(content) else appendQuoted(content)
    }

    private fun StringBuilder.appendQuoted(text: String) {
        val isPlain = text.none { it < ' ' || it == '"' || it == '\\' }
        if (isPlain) append('"').append(text).append('"') else append(JsonPrimitive(text).toString())
    }

    /** Appends [time] in UTC with nanoseconds. The text down to the second is formatted once a second. */
    private fun StringBuilder.appendTime(time: Instant) {
        val known = lastSecond
        val second = if (known.epochSecond == time.epochSecond) known else Second(time.epochSecond).also { lastSecond = it }
        append(second.text).append('.')
        val digits = time.nano.toString()
        repeat(NANO_DIGITS - digits.length) { append('0') }
        append(digits).append('Z')
    }

    private class Second(
        val epochSecond: Long,
    ) {
        val text = Instant.ofEpochSecond(epochSecond).toString().removeSuffix("Z")
    }

    /** The log of this process. */
    companion object {
        /** Holds some seconds of log lines of the busiest process. */
        private const val MAX_QUEUED_LINES = 4000

        /** Time between writes (ms). Each write covers all lines queued since the last one. */
        private const val FLUSH_INTERVAL_MILLIS = 100L
        private const val INITIAL_LINE_CHARACTERS = 256
        private const val NANO_DIGITS = 9

        /** The log on standard output, or null if [install] was not called. */
        @Volatile
        var installed: JsonLines? = null
            private set

        /** Directs the log to standard output. Call it before any library logs its first line. */
        fun install() {
            Configuration.set("writer", "json lines")
            val lines = JsonLines(FileOutputStream(FileDescriptor.out))
            installed = lines
            lines.start()
            Runtime.getRuntime().addShutdownHook(Thread(lines::flush))
        }
    }
}
