package io.bluebellramp.agent

import io.bluebellramp.core.Address
import io.bluebellramp.messages.TaskStatus
import kotlinx.coroutines.runBlocking
import kotlin.time.measureTime

private const val SLOTS = 8

/** Listens as an entry on `ADDRESS` and measures how long an agent takes to run `TASKS` tasks in 8 slots. Arguments: `ADDRESS TASKS`. */
fun main(args: Array<String>) {
    val (address, tasks) = args
    FakeEntry(address = Address(address), slots = SLOTS).use { entry ->
        synchronized(entry.payloads) { repeat(tasks.toInt()) { entry.payloads += "echo:hello" } }
        val countByStatus = IntArray(TaskStatus.entries.size)
        val elapsed =
            measureTime {
                runBlocking {
                    repeat(tasks.toInt()) {
                        countByStatus[
                            entry.outcomes
                                .receive()
                                .status.ordinal,
                        ]++
                    }
                }
            }
        println("$tasks tasks in $elapsed: " + TaskStatus.entries.joinToString { "${it.name.lowercase()} ${countByStatus[it.ordinal]}" })
    }
}
