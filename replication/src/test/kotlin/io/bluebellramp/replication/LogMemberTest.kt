package io.bluebellramp.replication

import io.bluebellramp.core.MemberId
import io.bluebellramp.core.SystemClock
import io.bluebellramp.messages.Membership
import io.bluebellramp.messages.MembershipAction
import io.bluebellramp.messages.MembershipRequest
import io.bluebellramp.messages.RecordKind
import io.bluebellramp.messages.VoteRequest
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeout
import kotlinx.coroutines.withTimeoutOrNull
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.io.TempDir
import java.nio.file.Files
import java.nio.file.Path
import java.util.concurrent.CountDownLatch
import kotlin.io.path.ExperimentalPathApi
import kotlin.io.path.deleteRecursively
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFailsWith
import kotlin.test.assertIs
import kotlin.test.assertNull
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.seconds

class LogMemberTest {
    @TempDir
    lateinit var root: Path

    private val cluster by lazy { FileCluster(root) }

    @AfterEach
    fun stop() = cluster.stopAll()

    private suspend fun startFoundingMembers() = listOf("a", "b", "c").forEach { cluster.start(it) }

    private fun replace(
        old: String,
        new: String,
    ) = MembershipRequest(MembershipAction.REPLACE, MemberId(new), address(new).address, MemberId(old))

    @Nested
    inner class `three founding members` {
        @Test
        fun `elect a leader and apply proposals in order`() =
            runBlocking {
                startFoundingMembers()
                assertEquals("1:x", cluster.propose("x").answer)
                assertEquals("2:y", cluster.propose("y").answer)
            }

        @Test
        fun `apply each of many concurrent proposals once`() =
            runBlocking {
                startFoundingMembers()
                val leader = cluster.leader()
                val results = (1..200).map { async { leader.propose("c$it") } }.awaitAll()
                assertEquals(
                    200,
                    results
                        .filterIsInstance<ProposalResult.Applied>()
                        .map { it.answer }
                        .toSet()
                        .size,
                )
            }

        @Test
        fun `keep all accepted proposals when all of them restart`() =
            runBlocking {
                startFoundingMembers()
                repeat(120) { cluster.propose("c$it") }
                cluster.stopAll()
                startFoundingMembers()
                assertEquals("121:after", cluster.propose("after").answer)
            }

        @Test
        fun `return the leader to a proposer`() =
            runBlocking {
                startFoundingMembers()
                val leader = cluster.leader()
                val follower = cluster.members.values.first { it !== leader }
                val found = cluster.eventually("leader known") { (follower.propose("x") as? ProposalResult.NotLeader)?.leader }
                assertEquals(leader, cluster.members[found.member])
            }
    }

    @Nested
    inner class `a member that lost its folder` {
        @OptIn(ExperimentalPathApi::class)
        @Test
        fun `is replaced under a new id, after which the cluster survives the loss of a second member`() =
            runBlocking {
                startFoundingMembers()
                repeat(70) { cluster.propose("c$it") }
                val lost =
                    cluster.members.keys
                        .first { cluster.members[it] !== cluster.leader() }
                        .value
                cluster.stop(lost)
                cluster.folder(lost).deleteRecursively()
                cluster.start(lost)
                cluster.start("d", joining = true)
                assertIs<ProposalResult.Applied>(cluster.leader().changeMembership(replace(lost, "d")))
                assertEquals(
                    0,
                    cluster.members
                        .getValue(MemberId(lost))
                        .status()
                        .term,
                )
                cluster.stop(
                    cluster.members.entries
                        .first { it.value === cluster.leader() }
                        .key.value,
                )
                assertEquals("71:after", cluster.propose("after").answer)
                val secondAddition =
                    cluster.leader().changeMembership(
                        MembershipRequest(MembershipAction.ADD, MemberId(lost), address(lost).address),
                    )
                assertTrue("retired" in assertIs<ProposalResult.Refused>(secondAddition).reason)
            }
    }

    @Nested
    inner class `a data folder` {
        @Test
        fun `that belongs to another member is refused`() =
            runBlocking {
                cluster.start("a")
                cluster.stop("a")
                val other =
                    LogMember(address("b"), listOf(address("b")), false, cluster.folder("a"), ListStateMachine(), cluster, SystemClock)
                assertIs<StorageError.OtherMember>(assertIs<LogStartResult.Refused>(other.start()).error)
                Unit
            }

        @Test
        fun `that is in use is refused`() =
            runBlocking {
                cluster.start("a")
                val other =
                    LogMember(address("a"), listOf(address("a")), false, cluster.folder("a"), ListStateMachine(), cluster, SystemClock)
                assertIs<StorageError.Locked>(assertIs<LogStartResult.Refused>(other.start()).error)
                Unit
            }
    }

    @Nested
    inner class `a disk that fails` {
        private inner class FailingStorage : LogStorage {
            override fun open(member: MemberId) = StorageOpenResult.Opened(StoredState(null, null, emptyList()))

            override fun persist(writes: List<StorageWrite>): StorageError? {
                val records = writes.filterIsInstance<StorageWrite.Append>().flatMap { it.records }
                return if (records.none { it.kind == RecordKind.COMMAND }) null else StorageError.Failed("no space")
            }

            override fun close() = Unit
        }

        @Test
        fun `stops the member, and no proposal is reported as applied`() =
            runBlocking {
                var failure: StorageError? = null
                val listener =
                    object : LogListener {
                        override fun onStorageFailure(error: StorageError) {
                            failure = error
                        }
                    }
                val settings = LogSettings(electionMillis = 100, heartbeatMillis = 20)
                val self = address("a")
                val member =
                    LogMember(self, listOf(self), false, FailingStorage(), ListStateMachine(), cluster, SystemClock, settings, listener)
                member.start()
                cluster.eventually("failure") { if (member.propose("x") is ProposalResult.Applied) error("accepted") else failure }
                assertEquals(ProposalResult.NotLeader(null), member.propose("y"))
                assertEquals(false, member.holdsLeaderLease())
                member.close()
            }
    }

    /** A state that is as large as the last command. */
    private class LastCommand : StateMachine {
        var command = ""

        override fun apply(
            index: Long,
            command: String,
        ): String {
            check(command != POISON) { "cannot apply $command" }
            this.command = command
            return command.take(ID_CHARACTERS)
        }

        override fun snapshot() = command

        override fun restore(snapshot: String) {
            command = snapshot
        }
    }

    private fun singleMember(
        machine: StateMachine,
        listener: LogListener = object : LogListener {},
    ): LogMember {
        val self = address("a")
        val settings = LogSettings(electionMillis = 100, heartbeatMillis = 20, snapshotCharacters = 10_000)
        return LogMember(self, listOf(self), false, cluster.folder("a"), machine, cluster, SystemClock, settings, listener)
    }

    private suspend fun LogMember.proposeUntilApplied(command: String) =
        cluster.eventually("applied") { propose(command) as? ProposalResult.Applied }

    @Nested
    inner class `a log of large records` {
        /** Guards against a log that a process of the same size can't read again. */
        @Test
        fun `is bounded by the size of the records, and a restarted member has the last one`() =
            runBlocking {
                val member = singleMember(LastCommand())
                member.start()
                val log = cluster.folder("a").resolve("log")
                repeat(60) {
                    member.proposeUntilApplied("$it ".padEnd(3_000, 'x'))
                    assertTrue(Files.size(log) < 20_000, "the log has ${Files.size(log)} bytes")
                }
                member.close()
                val machine = LastCommand()
                val again = singleMember(machine)
                again.start()
                cluster.eventually("the last command") { machine.command.takeIf { it.startsWith("59 ") } }
                again.close()
            }

        @Test
        fun `is not replaced by a snapshot that is larger than its records`() =
            runBlocking {
                val member = singleMember(LastCommand())
                member.start()
                member.proposeUntilApplied("x".repeat(30_000))
                val snapshot = cluster.folder("a").resolve("snapshot")
                cluster.eventually("a snapshot") { if (Files.exists(snapshot)) true else null }
                val first = Files.getLastModifiedTime(snapshot)
                repeat(5) { member.proposeUntilApplied("$it ".padEnd(5_000, 'x')) }
                assertEquals(first, Files.getLastModifiedTime(snapshot))
                member.close()
            }
    }

    @Nested
    inner class `an error in a member` {
        /** Guards against a process that goes on without the work of its log. */
        @Test
        fun `stops it, is reported, and frees the folder`() =
            runBlocking {
                val reported = CompletableDeferred<Throwable>()
                val listener =
                    object : LogListener {
                        override fun onError(cause: Throwable) {
                            reported.complete(cause)
                        }
                    }
                val member = singleMember(LastCommand(), listener)
                member.start()
                member.proposeUntilApplied("1 ")
                member.propose(POISON)
                assertEquals("cannot apply $POISON", withTimeout(5.seconds) { reported.await() }.message)
                assertEquals(ProposalResult.NotLeader(null), member.propose("2 "))
                assertNull(member.status().leader)
                member.close()
            }

        @Test
        fun `during its start leaves the folder unlocked`() =
            runBlocking {
                singleMember(LastCommand()).run {
                    start()
                    proposeUntilApplied("x".repeat(30_000))
                    cluster.eventually("a snapshot") { if (Files.exists(cluster.folder("a").resolve("snapshot"))) true else null }
                    close()
                }
                val refusing =
                    object : StateMachine by LastCommand() {
                        override fun restore(snapshot: String) = error("cannot restore")
                    }
                assertFailsWith<IllegalStateException> { singleMember(refusing).start() }
                val next = singleMember(LastCommand())
                assertEquals(LogStartResult.Started, next.start())
                next.close()
            }
    }

    @Nested
    inner class `a slow disk` {
        private inner class BlockingStorage : LogStorage {
            val writing = CompletableDeferred<Unit>()
            val writeMayFinish = CountDownLatch(1)
            private val members = Membership(1, listOf("a", "b", "c").map(::address), emptyList(), emptyList())
            private val vote = VoteState(MemberId("a"), 1, null, BootstrapStage.ACTIVE)

            override fun open(member: MemberId) =
                StorageOpenResult.Opened(StoredState(vote, StoredSnapshot(3, 1, members, ""), emptyList()))

            override fun persist(writes: List<StorageWrite>): StorageError? {
                if (writes.isNotEmpty()) {
                    writing.complete(Unit)
                    writeMayFinish.await()
                }
                return null
            }

            override fun close() = Unit
        }

        @Test
        fun `delays each answer until the state it depends on is durable`() =
            runBlocking {
                val storage = BlockingStorage()
                val settings = LogSettings(electionMillis = 100, heartbeatMillis = 20)
                val member =
                    LogMember(
                        address("a"),
                        emptyList(),
                        false,
                        storage,
                        ListStateMachine(),
                        cluster,
                        SystemClock,
                        settings,
                        object : LogListener {},
                    )
                member.start()
                delay(settings.electionTimeout)
                val answers =
                    listOf("b", "c").map { candidate ->
                        async { member.onVote(VoteRequest(5, MemberId(candidate), 3, 1, preVote = false)) }.also { storage.writing.await() }
                    }
                assertNull(withTimeoutOrNull(settings.electionTimeout) { answers.last().await() })
                storage.writeMayFinish.countDown()
                assertEquals(listOf(true, false), answers.awaitAll().map { it.granted })
                member.close()
            }
    }

    private companion object {
        const val POISON = "poison"
        const val ID_CHARACTERS = 3
    }
}
