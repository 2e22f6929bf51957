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

    private fun written(): List<JsonObject> =
        out
            .toString(Charsets.UTF_8)
            .trimEnd()
            .lines()
            .map { Json.parseToJsonElement(it) as JsonObject }

    private fun JsonObject.text(name: String) = this[name]?.jsonPrimitive?.content

    @Test
    fun `a line is one object, whatever its fields hold`() {
        lines.add("INFO", "two\nlines", mapOf("quote" to "\"\\", "number" to 7, "empty" to ""))
        lines.flush()
        val line = written().single()
        assertEquals("two\nlines", line.text("message"))
        assertEquals("\"\\", line.text("quote"))
        assertEquals(null, line["empty"])
    }

    @Test
    fun `lines beyond the bound are dropped, counted and told once`() {
        repeat(5) { lines.add("INFO", "line $it") }
        lines.flush()
        lines.flush()
        assertEquals(listOf("line 0", "line 1", "line 2", "log lines dropped"), written().map { it.text("message") })
        assertEquals("2", written().last().text("count"))
    }

    @Test
    fun `an output that fails costs lines and nothing else`() {
        val broken =
            JsonLines(
                object : OutputStream() {
                    override fun write(byte: Int) = throw IOException("closed")
                },
            )
        broken.add("INFO", "x")
        broken.flush()
        assertEquals(1, broken.droppedLines)
    }
}
