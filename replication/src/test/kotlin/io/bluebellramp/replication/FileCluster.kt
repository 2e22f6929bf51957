package io.bluebellramp.replication

import io.bluebellramp.core.Address
import io.bluebellramp.core.MemberId
import io.bluebellramp.core.SystemClock
import io.bluebellramp.messages.AppendRequest
import io.bluebellramp.messages.MemberAddress
import io.bluebellramp.messages.SnapshotRequest
import io.bluebellramp.messages.VoteRequest
import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeout
import java.nio.file.Path
import java.util.concurrent.ConcurrentHashMap
import kotlin.test.assertEquals
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Returns a member with the id [name] and an address derived from it. */
internal fun address(name: String) = MemberAddress(MemberId(name), Address("127.0.0.1:${7000 + name.sumOf { it.code }}"))

/** A state machine that records all commands in order. */
internal class ListStateMachine : StateMachine {
    val commands = ArrayList<String>()

    override fun apply(
        index: Long,
        command: String,
    ): String {
        commands += command
        return "${commands.size}:$command"
    }

    override fun snapshot() = commands.joinToString("\n")

    override fun restore(snapshot: String) {
        commands.clear()
        if (snapshot.isNotEmpty()) commands += snapshot.split("\n")
    }
}

/** Members in one process that store their state in files and call each other directly instead of over a network. */
internal class FileCluster(
    private val root: Path,
    private val settings: LogSettings = LogSettings(electionMillis = 150, heartbeatMillis = 30, snapshotRecords = 50),
    private val listener: LogListener = object : LogListener {},
) : LogTransport {
    private val foundingMembers = listOf("a", "b", "c").map(::address)
    val members = ConcurrentHashMap<MemberId, LogMember>()
    val machines = ConcurrentHashMap<String, ListStateMachine>()

    fun folder(name: String): Path = root.resolve(name)

    suspend fun start(
        name: String,
        joining: Boolean = false,
    ): LogMember {
        val machine = ListStateMachine()
        val member = LogMember(address(name), foundingMembers, joining, folder(name), machine, this, SystemClock, settings, listener)
        assertEquals(LogStartResult.Started, member.start())
        members[MemberId(name)] = member
        machines[name] = machine
        return member
    }

    fun stop(name: String) = members.remove(MemberId(name))?.close()

    fun stopAll() = members.keys.toList().forEach { stop(it.value) }

    suspend fun leader(): LogMember =
        eventually("a leader") {
            members.values.find { it.holdsLeaderLease() }
        }

    /** Proposes [command] repeatedly until a leader reports that it is applied. */
    suspend fun propose(command: String): ProposalResult.Applied =
        eventually(command) { leader().propose(command) as? ProposalResult.Applied }

    suspend fun <T> eventually(
        description: String,
        probe: suspend () -> T?,
    ): T {
        var result: T? = null
        withTimeout(20.seconds) {
            while (result == null) {
                result = probe()
                if (result == null) delay(5.milliseconds)
            }
        }
        return checkNotNull(result) { description }
    }

    override suspend fun vote(
        to: MemberAddress,
        request: VoteRequest,
    ) = members[to.member]?.onVote(request)

    override suspend fun append(
        to: MemberAddress,
        request: AppendRequest,
    ) = members[to.member]?.onAppend(request)

    override suspend fun snapshot(
        to: MemberAddress,
        request: SnapshotRequest,
    ) = members[to.member]?.onSnapshot(request)
}
