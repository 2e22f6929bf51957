package io.bluebellramp.replication

import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertEquals

class SyncedIndexTest {
    private val syncedIndex = SyncedIndex(10)

    @Nested
    inner class `truncated records` {
        @Test
        fun `are not counted as synced, even if their output is synced later`() {
            syncedIndex.addPending(1, 15)
            syncedIndex.truncateFrom(6)
            assertEquals(5, syncedIndex.index)
            syncedIndex.addPending(2, 8)
            syncedIndex.markSynced(1)
            assertEquals(5, syncedIndex.index)
            syncedIndex.markSynced(2)
            assertEquals(8, syncedIndex.index)
        }
    }
}
