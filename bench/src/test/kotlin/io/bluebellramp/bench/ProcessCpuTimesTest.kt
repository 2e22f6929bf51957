package io.bluebellramp.bench

import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.io.TempDir
import java.nio.file.Files
import java.nio.file.Path
import kotlin.test.Test
import kotlin.test.assertEquals

class ProcessCpuTimesTest {
    @TempDir
    lateinit var folder: Path

    @Nested
    inner class `the processor time of a process` {
        @Test
        fun `is the sum of its user and system time for any process name`() {
            Files.createDirectory(folder.resolve("7"))
            Files.writeString(folder.resolve("7/stat"), "7 (a b) c) S 1 7 7 0 -1 0 10 0 0 0 250 50 0 0 20 0 1 0 100 0 0")
            assertEquals(mapOf(7 to 3.0), ProcessCpuTimes(folder).seconds(listOf(7, 8)))
        }
    }
}
