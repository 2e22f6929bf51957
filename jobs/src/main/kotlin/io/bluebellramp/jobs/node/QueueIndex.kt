package io.bluebellramp.jobs.node

import io.bluebellramp.messages.Queue

/** Finds the queue of a call among [queues] in a time that does not grow with the queues of other hosts. */
class QueueIndex(
    queues: List<Queue>,
) {
    private val byHost = queues.groupBy { it.host }.mapValues { (_, own) -> own.sortedByDescending { it.prefix.length } }

    /** Names of all queues. */
    val names: Set<String> = queues.mapTo(HashSet()) { it.name }

    /** Returns the queue of [host] (lower case) with the longest prefix that [path] starts with, or null. */
    fun find(
        host: String,
        path: String,
    ): Queue? = byHost[host]?.firstOrNull { path.startsWith(it.prefix) }
}
