package io.bluebellramp.replication

import io.bluebellramp.core.MemberId
import io.bluebellramp.messages.LogRecord
import io.bluebellramp.messages.Membership
import io.bluebellramp.messages.RecordKind
import org.junit.jupiter.api.Nested
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertNull
import kotlin.test.assertTrue

/** Kills a member's process before each operation on its files, and again before each operation of the start that follows. */
class StorageCrashTest {
    private val member = MemberId("a")
    private val seeds: LongRange =
        System
            .getProperty("bluebellramp.seed")
            ?.toLongOrNull()
            ?.let { it..it }
            ?: (1L..(System.getProperty("bluebellramp.seeds").orEmpty().toLongOrNull() ?: DEFAULT_SEEDS))

    /** Generates batches of writes as a member of a cluster makes them. */
    private inner class Script(
        private val random: Random,
    ) {
        private val model = SimulatedDisk()
        private val state get() = model.state
        private val snapshotIndex get() = state.snapshot?.index ?: 0
        private val lastIndex get() = state.records.lastOrNull()?.index ?: snapshotIndex
        private var term = 1L

        fun batch(): List<StorageWrite> = List(1 + random.nextInt(MAX_BATCH)) { next().also { store(it) } }

        private fun store(write: StorageWrite) {
            model.beginWrite(listOf(write))
            model.sync()
        }

        private fun next(): StorageWrite {
            if (state.vote == null) return vote()
            return when (random.nextInt(6)) {
                0 -> vote()
                1 -> if (state.records.isEmpty()) append(lastIndex + 1) else ownSnapshot()
                2 -> leaderSnapshot()
                3 -> append(random.nextLong(snapshotIndex, lastIndex + 1) + 1)
                else -> append(lastIndex + 1)
            }
        }

        private fun vote() = StorageWrite.Vote(VoteState(member, ++term, stage = BootstrapStage.ACTIVE))

        private fun append(from: Long): StorageWrite {
            if (from <= lastIndex) term++
            return StorageWrite.Append(
                (from..from + random.nextInt(3)).map { LogRecord(it, term, RecordKind.COMMAND, "record $it of $term") },
            )
        }

        private fun ownSnapshot(): StorageWrite {
            val last = state.records.random(random)
            return StorageWrite.Snapshot(snapshot(last.index, last.term), state.records.filter { it.index > last.index })
        }

        /** A snapshot ahead of the log, or one that contradicts the unacknowledged end of the log. */
        private fun leaderSnapshot(): StorageWrite =
            StorageWrite.Snapshot(snapshot(random.nextLong(snapshotIndex, lastIndex + 4) + 1, ++term), emptyList())

        private fun snapshot(
            index: Long,
            term: Long,
        ) = StoredSnapshot(index, term, Membership(1, listOf(address("a")), emptyList(), emptyList()), "state $index")
    }

    private fun batches(seed: Long): List<List<StorageWrite>> = Script(Random(seed)).let { script -> List(BATCHES) { script.batch() } }

    private fun statesAfter(
        before: StoredState,
        batch: List<StorageWrite>,
    ): List<StoredState> {
        val model = SimulatedDisk(before)
        return listOf(before) +
            batch.map {
                model.beginWrite(listOf(it))
                model.sync()
                model.state
            }
    }

    private fun open(folder: MemoryDataFolder): Pair<FileLogStorage, StoredState> {
        val storage = FileLogStorage(folder, "data")
        return storage to assertIs<StorageOpenResult.Opened>(storage.open(member)).state
    }

    /** Writes [batches] until the process is killed. Returns the states that a start may find. */
    private fun writeUntilKilled(
        folder: MemoryDataFolder,
        batches: List<List<StorageWrite>>,
    ): List<StoredState> {
        var allowed = listOf(EMPTY)
        try {
            val (storage, _) = open(folder)
            for (batch in batches) {
                val states = statesAfter(allowed.last(), batch)
                allowed = states
                assertNull(storage.persist(batch))
                allowed = states.takeLast(1)
            }
        } catch (_: ProcessKilledException) {
            // The next start finds what this process left.
        }
        folder.restart()
        return allowed
    }

    /** What the process that finds [state] writes next. */
    private fun laterBatch(
        state: StoredState,
        term: Long,
    ): List<StorageWrite> {
        val next = (state.records.lastOrNull()?.index ?: state.snapshot?.index ?: 0) + 1
        return listOf(
            StorageWrite.Vote(VoteState(member, term)),
            StorageWrite.Append(listOf(LogRecord(next, term, RecordKind.COMMAND, "later"))),
        )
    }

    /**
     * Starts a process that finds one of [allowed], goes on to write, and is killed after [operations] operations. Returns the states that a later
     * start may find, or null if the process was not killed.
     */
    private fun startAndKill(
        folder: MemoryDataFolder,
        operations: Int,
        allowed: List<StoredState>,
    ): List<StoredState>? {
        var next = allowed
        folder.killAfter(operations)
        try {
            val (storage, found) = open(folder)
            assertTrue(found in allowed, "found $found, allowed $allowed")
            next = statesAfter(found, laterBatch(found, term = 98))
            assertNull(storage.persist(laterBatch(found, term = 98)))
            return null
        } catch (_: ProcessKilledException) {
            return next
        } finally {
            folder.restart()
        }
    }

    /** Returns false if the second process was not killed. */
    private fun check(
        seed: Long,
        killedAt: Int,
        killedAgainAt: Int?,
        losesPower: List<Boolean>,
    ): Boolean {
        val what = "seed $seed, killed at $killedAt, then at $killedAgainAt, power lost $losesPower"
        val folder = MemoryDataFolder(Random(seed * killedAt))
        folder.killAfter(killedAt)
        var allowed = writeUntilKilled(folder, batches(seed))
        if (losesPower[0]) folder.losePower()
        if (killedAgainAt != null) allowed = startAndKill(folder, killedAgainAt, allowed) ?: return false
        if (losesPower[1]) folder.losePower()
        var (storage, found) = open(folder)
        assertTrue(found in allowed, "$what: found $found, allowed $allowed")
        if (killedAt % 2 == 0) {
            folder.losePower()
            val again = open(folder)
            assertEquals(found, again.second, "$what: what a start has read is durable")
            storage = again.first
        }
        val later = laterBatch(found, term = 99)
        assertNull(storage.persist(later))
        folder.losePower()
        assertEquals(statesAfter(found, later).last(), open(folder).second, "$what: what was written after the crash")
        return true
    }

    private fun operationsOf(seed: Long): Int = MemoryDataFolder(Random(seed)).also { writeUntilKilled(it, batches(seed)) }.operations

    @Nested
    inner class `a member that is killed between any two operations on its files` {
        /** Guards against a log that contradicts the snapshot, and against records that are taken for synced although they are not. */
        @Test
        fun `finds an acknowledged state at its next start, and keeps it`() {
            var cases = 0
            for (seed in seeds) {
                for (killedAt in 0..operationsOf(seed)) {
                    for (losesPower in listOf(true, false)) {
                        check(seed, killedAt, killedAgainAt = null, losesPower = listOf(losesPower, false))
                        cases++
                    }
                }
            }
            println("seeds $seeds: $cases crashes")
        }

        /** Guards against a recovery that does not survive a crash of its own. */
        @Test
        fun `finds it at the second start if the first one is killed too`() {
            var cases = 0
            for (seed in seeds) {
                for (killedAt in 0..operationsOf(seed)) {
                    for (losesPower in listOf(listOf(false, false), listOf(false, true), listOf(true, true))) {
                        var killedAgainAt = 0
                        while (check(seed, killedAt, killedAgainAt, losesPower)) killedAgainAt++
                        cases += killedAgainAt
                    }
                }
            }
            println("seeds $seeds: $cases pairs of crashes")
        }
    }

    private companion object {
        const val DEFAULT_SEEDS = 20L
        const val BATCHES = 8
        const val MAX_BATCH = 3
        val EMPTY = StoredState(null, null, emptyList())
    }
}
