package io.bluebellramp.runtime

import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.io.TempDir
import java.nio.file.Files
import java.nio.file.Path
import java.nio.file.attribute.PosixFilePermissions
import kotlin.test.Test
import kotlin.test.assertFailsWith
import kotlin.test.assertFalse
import kotlin.test.assertNotNull
import kotlin.test.assertNull
import kotlin.test.assertTrue

class SharedKeyTest {
    @TempDir
    lateinit var folder: Path

    private fun file(
        text: String,
        permissions: String,
    ): String {
        val path = folder.resolve("key")
        Files.writeString(path, text)
        Files.setPosixFilePermissions(path, PosixFilePermissions.fromString(permissions))
        return path.toString()
    }

    @Nested
    inner class `A key file` {
        @Test
        fun `that others can read is refused`() {
            assertFailsWith<IllegalArgumentException> { SharedKey.read(file("0123456789abcdef", "rw-r--r--"), "127.0.0.1") }
        }

        @Test
        fun `that is not there is refused`() {
            assertFailsWith<IllegalArgumentException> { SharedKey.read(folder.resolve("none").toString(), "127.0.0.1") }
        }

        @Test
        fun `that is short is refused`() {
            assertFailsWith<IllegalArgumentException> { SharedKey.read(file("short", "rw-------"), "127.0.0.1") }
        }

        @Test
        fun `matches its own header only`() {
            val key = assertNotNull(SharedKey.read(file("0123456789abcdef\n", "rw-------"), "10.0.0.1"))
            assertTrue(key.matches("Bearer 0123456789abcdef"))
            assertFalse(key.matches("Bearer 0123456789abcdeg"))
            assertFalse(key.matches(null))
        }
    }

    @Nested
    inner class `No key file` {
        @Test
        fun `is possible on loopback only`() {
            assertNull(SharedKey.read(null, "127.0.0.1"))
            listOf("10.0.0.1", "0.0.0.0", "127.example.org").forEach { host ->
                assertFailsWith<IllegalArgumentException>(host) { SharedKey.read(null, host) }
            }
        }
    }
}
