package io.bluebellramp.replication

import io.bluebellramp.core.MemberId
import io.bluebellramp.messages.LogRecord
import io.bluebellramp.messages.Membership
import io.bluebellramp.messages.RecordKind
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.io.TempDir
import java.nio.file.Files
import java.nio.file.Path
import kotlin.io.path.deleteExisting
import kotlin.io.path.readBytes
import kotlin.io.path.writeBytes
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertNull

class FileLogStorageTest {
    @TempDir
    lateinit var root: Path

    private val member = MemberId("a")
    private val vote = VoteState(member, term = 3, votedFor = MemberId("b"), stage = BootstrapStage.ACTIVE)
    private val log get() = root.resolve("log")

    private fun record(
        index: Long,
        term: Long = 1,
    ) = LogRecord(index, term, RecordKind.COMMAND, "body $index of $term")

    private fun records(
        range: LongRange,
        term: Long = 1,
    ) = range.map { record(it, term) }

    private fun snapshot(index: Long) = StoredSnapshot(index, 1, Membership(1, listOf(address("a")), emptyList(), emptyList()), "state")

    private fun write(vararg writes: StorageWrite) {
        FileLogStorage(NioDataFolder(root), root.toString()).use { storage ->
            assertIs<StorageOpenResult.Opened>(storage.open(member))
            writes.forEach { assertNull(storage.persist(listOf(it))) }
        }
    }

    private fun read(): StoredState =
        FileLogStorage(NioDataFolder(root), root.toString()).use {
            assertIs<StorageOpenResult.Opened>(it.open(member)).state
        }

    private fun openError(): StorageError =
        FileLogStorage(NioDataFolder(root), root.toString()).use {
            assertIs<StorageOpenResult.Refused>(it.open(member)).error
        }

    @Nested
    inner class `a storage that is opened again` {
        @Test
        fun `returns what was synced`() {
            write(StorageWrite.Vote(vote), StorageWrite.Append(records(1L..3)), StorageWrite.Append(records(4L..4)))
            assertEquals(StoredState(vote, null, records(1L..4)), read())
        }

        @Test
        fun `returns the records that replaced the end of the log`() {
            write(StorageWrite.Vote(vote), StorageWrite.Append(records(1L..5)), StorageWrite.Append(records(3L..4, term = 2)))
            assertEquals(records(1L..2) + records(3L..4, term = 2), read().records)
        }

        @Test
        fun `returns the snapshot and the records after it`() {
            write(StorageWrite.Vote(vote), StorageWrite.Append(records(1L..5)), StorageWrite.Snapshot(snapshot(4), records(5L..5)))
            write(StorageWrite.Append(records(6L..6)))
            assertEquals(StoredState(vote, snapshot(4), records(5L..6)), read())
        }

        @Test
        fun `drops the records that the snapshot covers if it crashed before the log was replaced`() {
            write(StorageWrite.Vote(vote), StorageWrite.Append(records(1L..5)))
            val logBeforeSnapshot = log.readBytes()
            write(StorageWrite.Snapshot(snapshot(4), records(5L..5)))
            log.writeBytes(logBeforeSnapshot)
            assertEquals(records(5L..5), read().records)
        }

        /** Guards against a member that takes its log for corrupt because it was killed between storing a snapshot and replacing the log. */
        @Test
        fun `keeps the records that it appended after such a crash`() {
            write(StorageWrite.Vote(vote), StorageWrite.Append(records(1L..5)))
            val logBeforeSnapshot = log.readBytes()
            write(StorageWrite.Snapshot(snapshot(9), emptyList()))
            log.writeBytes(logBeforeSnapshot)
            write(StorageWrite.Append(records(10L..11)))
            assertEquals(StoredState(vote, snapshot(9), records(10L..11)), read())
        }
    }

    @Nested
    inner class `a torn write` {
        @Test
        fun `is truncated, whatever its length, and the log can be appended to`() {
            write(StorageWrite.Vote(vote), StorageWrite.Append(records(1L..3)))
            val syncedLength = Files.size(log).toInt()
            write(StorageWrite.Append(records(4L..5)))
            val intact = log.readBytes()
            for (length in syncedLength until intact.size) {
                log.writeBytes(intact.copyOf(length))
                assertEquals(records(1L..3), read().records, "cut at $length")
                assertEquals(syncedLength.toLong(), Files.size(log))
            }
            write(StorageWrite.Append(records(4L..4, term = 2)))
            assertEquals(records(1L..3) + record(4, 2), read().records)
        }
    }

    @Nested
    inner class `a damaged file` {
        @Test
        fun `is reported with file and offset, whichever byte before the last frame was changed`() {
            write(StorageWrite.Vote(vote), StorageWrite.Append(records(1L..2)))
            val firstFrameEnd = Files.size(log).toInt()
            write(StorageWrite.Append(records(3L..4)))
            val secondFrameEnd = Files.size(log).toInt()
            write(StorageWrite.Append(records(5L..5)))
            val intact = log.readBytes()
            for (offset in 0 until secondFrameEnd) {
                val damaged = intact.copyOf()
                damaged[offset] = (damaged[offset].toInt() xor 4).toByte()
                log.writeBytes(damaged)
                val expected =
                    StorageError.Corrupt(
                        log.toString(),
                        if (offset <
                            firstFrameEnd
                        ) {
                            0
                        } else {
                            firstFrameEnd.toLong()
                        },
                        "bad checksum before the last frame",
                    )
                assertEquals(expected, openError(), "byte $offset")
            }
        }

        @Test
        fun `is reported if it is the vote file`() {
            write(StorageWrite.Vote(vote))
            val file = root.resolve("vote")
            val damaged = file.readBytes()
            damaged[20] = (damaged[20].toInt() xor 1).toByte()
            file.writeBytes(damaged)
            assertEquals(file.toString(), assertIs<StorageError.Corrupt>(openError()).file)
        }

        @Test
        fun `is reported if the vote file is missing but the log is not`() {
            write(StorageWrite.Vote(vote), StorageWrite.Append(records(1L..2)))
            root.resolve("vote").deleteExisting()
            assertIs<StorageError.Corrupt>(openError())
        }
    }
}
