package io.bluebellramp.agent

import io.bluebellramp.core.Address
import io.bluebellramp.messages.TaskStatus
import kotlinx.coroutines.runBlocking
import kotlin.time.measureTime

private const val SLOTS = 8

/** Gives the agent that dials `ADDRESS` so many tasks, one after the other in each of 8 slots: `ADDRESS TASKS`. */
fun main(args: Array<String>) {
    val (address, tasks) = args
    FakeEntry(address = Address(address), slots = SLOTS).use { entry ->
        synchronized(entry.payloads) { repeat(tasks.toInt()) { entry.payloads += "echo:hello" } }
        val done = IntArray(TaskStatus.entries.size)
        val time =
            measureTime {
                runBlocking {
                    repeat(tasks.toInt()) {
                        done[
                            entry.outcomes
                                .receive()
                                .status.ordinal,
                        ]++
                    }
                }
            }
        println("$tasks tasks in $time: " + TaskStatus.entries.joinToString { "${it.name.lowercase()} ${done[it.ordinal]}" })
    }
}
