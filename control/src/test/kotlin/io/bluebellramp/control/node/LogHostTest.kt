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
import io.bluebellramp.replication.LogTransport
import io.bluebellramp.replication.ProposalResult
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

/** A member alone, on a real folder. */
class LogHostTest {
    private object NobodyElse : LogTransport {
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
    private val hosts = ArrayList<LogHost>()

    @AfterEach
    fun close() = hosts.forEach { it.close() }

    private fun host() =
        LogHost(folder, self, isFounding = true, NobodyElse, SystemClock) { }.also {
            hosts += it
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
        error("it never came to pass: $what")
    }

    private fun LogHost.leads() = member?.status()?.leader != null

    private fun LogHost.takeOut(zone: String) =
        runBlocking {
            val command = CatalogCommand(zoneOut = ZoneId(zone))
            assertIs<ProposalResult.Applied>(checkNotNull(member).propose(WireJson.encodeToString(command)))
        }

    @Test
    fun `a member that starts again is the same and knows what it held`() {
        val first = host()
        eventually("it leads") { first.leads() }
        first.takeOut("z1")
        first.close()
        val again = host()
        eventually("it leads again") { again.leads() && again.state()?.zonesOut == listOf(ZoneId("z1")) }
        assertEquals(MemberId("c-127.0.0.1"), again.identity?.member)
        assertEquals(first.identity, again.identity)
    }

    @Test
    fun `a member that the others removed joins under a new id and holds nothing`() {
        val host = host()
        eventually("it leads") { host.leads() }
        host.takeOut("z1")
        val former = host.identity
        host.startAfresh()
        eventually("it asks to join") { host.isJoining && host.identity != former }
        assertNotEquals(former?.member, host.identity?.member)
        assertEquals(emptyList(), host.state()?.zonesOut)
    }

    @Test
    fun `a damaged identity counts as a lost disk`() {
        val first = host()
        eventually("it leads") { first.leads() }
        first.close()
        Files.writeString(folder.resolve("identity"), "{\"member\":")
        val again = host()
        eventually("it asks to join") { again.isJoining }
        assertNotEquals(MemberId("c-127.0.0.1"), again.identity?.member)
        assertTrue(Files.exists(folder.resolveSibling("data-aside")), "what was there is kept")
    }

    @Test
    fun `a disk that cannot be used is tried until it can`() {
        Files.writeString(folder, "a file where the folder should be")
        val host = host()
        TimeUnit.MILLISECONDS.sleep(500)
        assertNull(host.member)
        Files.delete(folder)
        eventually("it leads") { host.leads() }
    }
}
