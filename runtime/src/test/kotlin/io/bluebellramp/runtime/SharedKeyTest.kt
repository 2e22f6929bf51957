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

    private fun keyFile(
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
        fun `that others can read is rejected`() {
            assertFailsWith<IllegalArgumentException> { SharedKey.read(keyFile("0123456789abcdef", "rw-r--r--"), "127.0.0.1") }
        }

        @Test
        fun `that does not exist is rejected`() {
            assertFailsWith<IllegalArgumentException> { SharedKey.read(folder.resolve("none").toString(), "127.0.0.1") }
        }

        @Test
        fun `that is too short is rejected`() {
            assertFailsWith<IllegalArgumentException> { SharedKey.read(keyFile("short", "rw-------"), "127.0.0.1") }
        }

        @Test
        fun `matches only its own header`() {
            val key = assertNotNull(SharedKey.read(keyFile("0123456789abcdef\n", "rw-------"), "10.0.0.1"))
            assertTrue(key.matches("Bearer 0123456789abcdef"))
            assertFalse(key.matches("Bearer 0123456789abcdeg"))
            assertFalse(key.matches(null))
        }
    }

    @Nested
    inner class `No key file` {
        @Test
        fun `is accepted on loopback only`() {
            assertNull(SharedKey.read(null, "127.0.0.1"))
            listOf("10.0.0.1", "0.0.0.0", "127.example.org").forEach { host ->
                assertFailsWith<IllegalArgumentException>(host) { SharedKey.read(null, host) }
            }
        }
    }
}
