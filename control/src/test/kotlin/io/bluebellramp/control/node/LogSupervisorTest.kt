package io.bluebellramp.control.node

import io.bluebellramp.core.Address
import io.bluebellramp.core.MemberId
import io.bluebellramp.core.SystemClock
import io.bluebellramp.core.WireJson
import io.bluebellramp.core.ZoneId
import io.bluebellramp.messages.AppendRequest
import io.bluebellramp.messages.AppendResponse
import io.bluebellramp.messages.MemberAddress
import io.bluebellramp.messages.SnapshotRequest
import io.bluebellramp.messages.SnapshotResponse
import io.bluebellramp.messages.VoteRequest
import io.bluebellramp.messages.VoteResponse
import io.bluebellramp.replication.LogMember
import io.bluebellramp.replication.LogSettings
import io.bluebellramp.replication.LogTransport
import io.bluebellramp.replication.ProposalResult
import io.bluebellramp.replication.StateMachine
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.io.TempDir
import java.nio.file.Files
import java.nio.file.Path
import java.util.concurrent.TimeUnit
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertNotEquals
import kotlin.test.assertNull
import kotlin.test.assertTrue

/** Tests a single member on a real folder. */
class LogSupervisorTest {
    private object UnreachableMembers : LogTransport {
        override suspend fun vote(
            to: MemberAddress,
            request: VoteRequest,
        ): VoteResponse? = null

        override suspend fun append(
            to: MemberAddress,
            request: AppendRequest,
        ): AppendResponse? = null

        override suspend fun snapshot(
            to: MemberAddress,
            request: SnapshotRequest,
        ): SnapshotResponse? = null
    }

    @TempDir
    lateinit var parent: Path
    private val folder by lazy { parent.resolve("data") }
    private val self = Address("127.0.0.1:9")
    private val supervisors = ArrayList<LogSupervisor>()

    @AfterEach
    fun close() = supervisors.forEach { it.close() }

    private fun supervisor() =
        LogSupervisor(folder, self, UnreachableMembers, SystemClock) { }.also {
            supervisors += it
            it.start(listOf(self))
        }

    private fun eventually(
        what: String,
        holds: () -> Boolean,
    ) {
        repeat(500) {
            if (holds()) return
            TimeUnit.MILLISECONDS.sleep(20)
        }
        error("condition not met in time: $what")
    }

    private fun LogSupervisor.leads() = member?.status()?.leader != null

    private fun LogSupervisor.takeZoneOut(zone: String) =
        runBlocking {
            val command = CatalogCommand(zoneOut = ZoneId(zone))
            assertIs<ProposalResult.Applied>(checkNotNull(member).propose(WireJson.encodeToString(command)))
        }

    @Test
    fun `a restarted member keeps its identity and state`() {
        val first = supervisor()
        eventually("it leads") { first.leads() }
        first.takeZoneOut("z1")
        first.close()
        val again = supervisor()
        eventually("it leads again") { again.leads() && again.state()?.zonesOut == listOf(ZoneId("z1")) }
        assertEquals(MemberId("c-127.0.0.1"), again.identity?.member)
        assertEquals(first.identity, again.identity)
    }

    @Test
    fun `a removed member joins under a new id with an empty state`() {
        val supervisor = supervisor()
        eventually("it leads") { supervisor.leads() }
        supervisor.takeZoneOut("z1")
        val former = supervisor.identity
        supervisor.rejoinAsNewMember()
        eventually("it asks to join") { supervisor.isJoining && supervisor.identity != former }
        assertNotEquals(former?.member, supervisor.identity?.member)
        assertEquals(emptyList(), supervisor.state()?.zonesOut)
    }

    @Test
    fun `a damaged identity counts as a lost disk`() {
        val first = supervisor()
        eventually("it leads") { first.leads() }
        first.close()
        Files.writeString(folder.resolve("identity"), "{\"member\":")
        val again = supervisor()
        eventually("it asks to join") { again.isJoining }
        assertNotEquals(MemberId("c-127.0.0.1"), again.identity?.member)
        assertTrue(Files.exists(folder.resolve("log-aside/log")), "the old log is kept")
    }

    /** Guards against a member that never opens its log again, or founds a second cluster, after it was killed while it discarded its log. */
    @Test
    fun `a founder that was killed before it had set its log aside joins under a new id with an empty state`() {
        val first = supervisor()
        eventually("it leads") { first.leads() }
        first.takeZoneOut("z1")
        first.close()
        MemberIdentity.renew(folder, self)
        val again = supervisor()
        eventually("it asks to join") { again.isJoining }
        assertNotEquals(MemberId("c-127.0.0.1"), again.identity?.member)
        assertEquals(emptyList(), again.state()?.zonesOut)
    }

    /** Guards against a second discarded log that takes its files away one by one. */
    @Test
    fun `a log that is damaged again is set aside as a whole, and the new identity lasts`() {
        val damagedMembers = HashSet<MemberId>()
        repeat(3) {
            val supervisor = supervisor()
            eventually("it has a log") { supervisor.identity != null && Files.exists(folder.resolve("log/vote")) }
            damagedMembers += checkNotNull(supervisor.identity).member
            supervisor.close()
            Files.writeString(folder.resolve("log/vote"), "damaged")
        }
        val last = supervisor()
        eventually("it asks to join") { last.isJoining }
        assertEquals(3, damagedMembers.size)
        assertTrue(checkNotNull(last.identity).member !in damagedMembers)
        assertEquals("damaged", Files.readString(folder.resolve("log-aside/vote")))
    }

    /** Guards against a process that goes on without its log after an error that is none of the disk. */
    @Test
    fun `an error while the log is opened is retried until it can be opened`() {
        val identity = MemberIdentity.loadOrCreate(folder, self, listOf(self), isFounding = true)
        storeUnreadableState(identity.member)
        val supervisor = supervisor()
        TimeUnit.MILLISECONDS.sleep(1000)
        assertNull(supervisor.member)
        folder.resolve("log").toFile().deleteRecursively()
        eventually("it leads") { supervisor.leads() }
    }

    /** Stores a snapshot that [CatalogStateMachine] can't restore. */
    private fun storeUnreadableState(id: MemberId) =
        runBlocking {
            val machine =
                object : StateMachine {
                    override fun apply(
                        index: Long,
                        command: String,
                    ) = ""

                    override fun snapshot() = "unreadable"

                    override fun restore(snapshot: String) = Unit
                }
            val member = MemberAddress(id, self)
            val settings = LogSettings(electionMillis = 100, heartbeatMillis = 20, snapshotRecords = 1)
            val log = LogMember(member, listOf(member), false, folder.resolve("log"), machine, UnreachableMembers, SystemClock, settings)
            log.start()
            eventually("a snapshot") {
                runBlocking { log.propose("{}") }
                Files.exists(folder.resolve("log/snapshot"))
            }
            log.close()
        }

    @Test
    fun `an unusable disk is retried until it is usable`() {
        Files.writeString(folder, "a file where the folder should be")
        val supervisor = supervisor()
        TimeUnit.MILLISECONDS.sleep(500)
        assertNull(supervisor.member)
        Files.delete(folder)
        eventually("it leads") { supervisor.leads() }
    }
}
