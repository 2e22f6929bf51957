package io.bluebellramp.jobs.node

import io.bluebellramp.core.ServiceId
import io.bluebellramp.messages.Queue
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNull

class QueueIndexTest {
    private fun queue(
        name: String,
        host: String,
        prefix: String,
    ) = Queue(name = name, host = host, prefix = prefix, service = ServiceId("s"))

    private val index = QueueIndex(listOf(queue("short", "a", "/"), queue("long", "a", "/x/"), queue("other", "b", "/x/y/")))

    @Test
    fun `the longest prefix of the host wins`() {
        assertEquals("long", index.find("a", "/x/y/z")?.name)
        assertEquals("short", index.find("a", "/y")?.name)
        assertEquals("other", index.find("b", "/x/y/z")?.name)
    }

    @Test
    fun `a path without a prefix and an unknown host have no queue`() {
        assertNull(index.find("b", "/x"))
        assertNull(index.find("c", "/x/"))
    }
}
