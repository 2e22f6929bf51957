package io.bluebellramp.replication

import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertEquals

class SyncedIndexTest {
    private val synced = SyncedIndex(10)

    @Nested
    inner class `records that were dropped` {
        @Test
        fun `do not count as synced, whether they were or not`() {
            synced.issued(1, 15)
            synced.truncated(6)
            assertEquals(5, synced.index)
            synced.issued(2, 8)
            synced.synced(1)
            assertEquals(5, synced.index)
            synced.synced(2)
            assertEquals(8, synced.index)
        }
    }
}
