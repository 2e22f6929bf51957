package io.bluebellramp.bench

import io.bluebellramp.core.Address
import io.bluebellramp.runtime.ExitCode
import org.junit.jupiter.api.io.TempDir
import java.nio.file.Files
import java.nio.file.Path
import kotlin.test.Test
import kotlin.test.assertContains
import kotlin.test.assertEquals
import kotlin.test.assertFailsWith

class BenchSettingsTest {
    @TempDir
    lateinit var folder: Path

    private fun file(text: String) = Files.writeString(folder.resolve("bench.json"), text).toString()

    @Test
    fun `a settings file names the entries`() {
        val file = file("""{"entries": ["127.0.0.1:17201"]}""")
        assertEquals(listOf(Address("127.0.0.1:17201")), configuredEntries(file))
        assertEquals(ExitCode.OK, checkSettings(listOf("--check", "--config", file)))
    }

    @Test
    fun `all errors of a settings file are reported with their paths`() {
        val file = file("""{"entries": ["nowhere"], "other": 1}""")
        val message = assertFailsWith<UsageException> { configuredEntries(file) }.message.orEmpty()
        assertContains(message, "$.entries[0]")
        assertContains(message, "property 'other'")
        assertEquals(ExitCode.USAGE, checkSettings(listOf("--check", "--config", file)))
    }

    @Test
    fun `settings without entries are rejected`() {
        assertFailsWith<UsageException> { configuredEntries(null) }
        assertFailsWith<UsageException> { configuredEntries(file("{}")) }
    }
}
