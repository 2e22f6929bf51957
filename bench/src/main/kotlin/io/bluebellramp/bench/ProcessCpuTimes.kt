package io.bluebellramp.bench

import java.io.IOException
import java.nio.file.Files
import java.nio.file.Path

/** Reads the processor time used by local processes from `/proc`. */
internal class ProcessCpuTimes(
    private val procFolder: Path = Path.of("/proc"),
) {
    /** Returns the processor time (s) of each of [pids]. Processes that do not exist are left out. */
    fun seconds(pids: List<Int>): Map<Int, Double> = pids.mapNotNull { pid -> seconds(pid)?.let { pid to it } }.toMap()

    private fun seconds(pid: Int): Double? {
        val fields = fieldsAfterName(pid) ?: return null
        val ticks = listOf(USER_TIME_FIELD, SYSTEM_TIME_FIELD).sumOf { fields.getOrNull(it)?.toLongOrNull() ?: return null }
        return ticks / TICKS_PER_SECOND
    }

    /** Fields are counted from the end of the process name, which may contain spaces and parentheses. */
    private fun fieldsAfterName(pid: Int): List<String>? =
        try {
            Files.readString(procFolder.resolve("$pid/stat")).substringAfterLast(") ").split(' ')
        } catch (_: IOException) {
            null
        }

    private companion object {
        const val USER_TIME_FIELD = 11
        const val SYSTEM_TIME_FIELD = 12
        const val TICKS_PER_SECOND = 100.0
    }
}
