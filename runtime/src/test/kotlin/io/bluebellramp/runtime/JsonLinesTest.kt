package io.bluebellramp.runtime

import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.jsonPrimitive
import java.io.ByteArrayOutputStream
import java.io.IOException
import java.io.OutputStream
import java.time.Instant
import kotlin.test.Test
import kotlin.test.assertEquals

class JsonLinesTest {
    private val out = ByteArrayOutputStream()
    private val lines = JsonLines(out, capacity = 3) { Instant.EPOCH }

    private fun parsedLines(): List<JsonObject> =
        out
            .toString(Charsets.UTF_8)
            .trimEnd()
            .lines()
            .map { Json.parseToJsonElement(it) as JsonObject }

    private fun JsonObject.field(name: String) = this[name]?.jsonPrimitive?.content

    @Test
    fun `a line is one JSON object, whatever characters its fields contain`() {
        lines.add("INFO", "two\nlines", mapOf("quote" to "\"\\", "number" to 7, "empty" to ""))
        lines.flush()
        val line = parsedLines().single()
        assertEquals("two\nlines", line.field("message"))
        assertEquals("\"\\", line.field("quote"))
        assertEquals(null, line["empty"])
    }

    @Test
    fun `lines beyond the capacity are dropped, counted and reported once`() {
        repeat(5) { lines.add("INFO", "line $it") }
        lines.flush()
        lines.flush()
        assertEquals(listOf("line 0", "line 1", "line 2", "log lines dropped"), parsedLines().map { it.field("message") })
        assertEquals("2", parsedLines().last().field("count"))
    }

    @Test
    fun `lines are lost without an exception if the output fails`() {
        val failing =
            JsonLines(
                object : OutputStream() {
                    override fun write(byte: Int) = throw IOException("closed")
                },
            )
        failing.add("INFO", "x")
        failing.flush()
        assertEquals(1, failing.droppedLineCount)
    }
}
