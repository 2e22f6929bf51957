package io.bluebellramp.bench

import java.io.IOException
import java.nio.file.Files
import java.nio.file.Path

/** Reads the processor time that processes of this machine have used. */
internal class ProcessTimes(
    private val processes: Path = Path.of("/proc"),
) {
    /** Returns the processor time of each process of [pids] that is there (s). */
    fun seconds(pids: List<Int>): Map<Int, Double> = pids.mapNotNull { pid -> seconds(pid)?.let { pid to it } }.toMap()

    private fun seconds(pid: Int): Double? {
        val fields = fieldsAfterName(pid) ?: return null
        val ticks = listOf(USER_FIELD, SYSTEM_FIELD).sumOf { fields.getOrNull(it)?.toLongOrNull() ?: return null }
        return ticks / TICKS_PER_SECOND
    }

    /** The name may hold blanks, so fields are counted from its end. */
    private fun fieldsAfterName(pid: Int): List<String>? =
        try {
            Files.readString(processes.resolve("$pid/stat")).substringAfterLast(") ").split(' ')
        } catch (_: IOException) {
            null
        }

    private companion object {
        const val USER_FIELD = 11
        const val SYSTEM_FIELD = 12
        const val TICKS_PER_SECOND = 100.0
    }
}
