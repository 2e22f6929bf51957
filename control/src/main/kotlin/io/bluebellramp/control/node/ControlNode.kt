package io.bluebellramp.control.node

import io.bluebellramp.core.Address
import io.bluebellramp.core.Clock
import io.bluebellramp.core.IncarnationId
import io.bluebellramp.core.MemberId
import io.bluebellramp.core.WireJson
import io.bluebellramp.core.ZoneId
import io.bluebellramp.messages.Catalog
import io.bluebellramp.messages.ControlFrame
import io.bluebellramp.messages.Directory
import io.bluebellramp.messages.MemberAddress
import io.bluebellramp.messages.NodeSettings
import io.bluebellramp.messages.ProcessHello
import io.bluebellramp.messages.ProcessRole
import io.bluebellramp.messages.SharedState
import io.bluebellramp.replication.LogStatus
import io.bluebellramp.replication.ProposalResult
import io.bluebellramp.replication.Role
import io.bluebellramp.runtime.Decision
import io.bluebellramp.runtime.logDecision
import io.bluebellramp.transport.EventLoop
import io.bluebellramp.transport.FrameDialer
import io.bluebellramp.transport.FrameLink
import io.bluebellramp.transport.FrameServer
import io.bluebellramp.transport.LinkListener
import io.bluebellramp.transport.LinkPorts
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.launch
import java.nio.file.Path
import java.util.concurrent.ConcurrentHashMap
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** What an operator's order or reading came to. */
sealed interface OperatorResult {
    /** It is committed; [state] is the state after it. */
    data class Done(
        val state: SharedState,
    ) : OperatorResult

    /** Another catalog has the same number. */
    data object Conflict : OperatorResult

    /** Another process leads; its host is [host]. */
    data class LedBy(
        val host: String,
    ) : OperatorResult

    /** Nothing is certain: no leader is known, or it was lost under way. */
    data object Unknown : OperatorResult
}

/**
 * A control process that finds the others from seeds. It keeps the catalog and the zones out of service in a replicated log, and tells
 * every entry and agent that dials it of each change.
 */
class ControlNode(
    private val settings: NodeSettings,
    private val loop: EventLoop,
    private val clock: Clock,
) : AutoCloseable {
    private val self = LinkPorts.control(settings, settings.host)
    private var seeds = settings.seeds.map { LinkPorts.control(settings, it.host) }
    private val incarnation = IncarnationId.next()
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
    private val dialers = HashMap<Address, FrameDialer>()
    private val processes = HashMap<FrameLink, ProcessHello>()

    /** The member that asked last at each address, and when. */
    private val joining = HashMap<Address, Pair<MemberAddress, Duration>>()
    private val keeper = MemberKeeper(settings.toleratedLosses, founders = seeds.size)
    private val watch = VoterWatch()
    private val transport = LinkLogTransport(loop, clock, CALL_TIMEOUT) { dialers[it]?.link }
    private var state: SharedState? = null
    private var directory = Directory(controls = emptyList(), entries = emptyList())
    private var leadsSince: Duration? = null

    private val hasDisk = settings.dataFolder.isNotEmpty()
    private var isLogStarted = false

    /** True once the whole log that a leader has was applied. */
    private var isCurrent = false
    private var isChanging = false
    private var changedAt = Duration.ZERO
    private var absentSince: Duration? = null
    private val log =
        LogHost(Path.of(settings.dataFolder), self, settings.founding, transport, clock) { next -> loop.execute { take(next) } }
    private val server = FrameServer(loop, clock, self.host, self.port, ServerListener())

    /** True while a leader is known. */
    val isReady: Boolean get() = log.member?.status()?.leader != null

    /** Voters that do not answer, as the leader sees it; 0 elsewhere. */
    val silentVoters: Int get() = watch.silentVoters

    /** True if entries and agents that ask are told the state. */
    val tellsState: Boolean get() = isCurrent

    /** What this member knows of the log, or null while its disk cannot be used. */
    internal val logStatus: LogStatus? get() = log.member?.status()

    /** Members that vote, as far as this one knows. */
    val voters: List<MemberAddress>
        get() =
            log.member
                ?.status()
                ?.membership
                ?.voters
                .orEmpty()

    /** Starts to listen and to find the others. */
    fun start() {
        server.start()
        if (!hasDisk) logDecision(Decision(kind = "log_none", reason = "no data folder: this process keeps no log and sends operators on"))
        loop.every(TICK) { tick() }
    }

    /** A founder must know which of the seeds have a disk: the others keep no log. */
    private fun startLog() {
        if (isLogStarted || !hasDisk) return
        val mustWait = settings.founding && self in seeds && !log.hasIdentity
        val seen = processes.values.map { it.address } + self
        if (mustWait && !seen.containsAll(seeds)) return
        isLogStarted = true
        val diskless = processes.values.filterNot { it.hasDisk }.map { it.address }
        log.start(founders = seeds - diskless.toSet())
    }

    /** Puts [catalog] in force unless a higher number is. */
    suspend fun put(catalog: Catalog): OperatorResult = propose(CatalogCommand(catalog = catalog))

    /** Takes [zone] out of service, or back. */
    suspend fun setZone(
        zone: ZoneId,
        isOut: Boolean,
    ): OperatorResult = propose(if (isOut) CatalogCommand(zoneOut = zone) else CatalogCommand(zoneIn = zone))

    /**
     * Reads the state, no older than any change that was answered before this call. The reading goes through the log: a lease would not
     * notice that this VM was suspended.
     */
    suspend fun read(): OperatorResult = propose(CatalogCommand())

    /** Looks for the others at [next] too. */
    fun useSeeds(next: List<Address>) {
        seeds = next.map { LinkPorts.control(settings, it.host) }
    }

    override fun close() {
        scope.cancel()
        log.close()
    }

    private suspend fun propose(command: CatalogCommand): OperatorResult {
        val member = log.member ?: return sentOn()
        return when (val result = member.propose(WireJson.encodeToString(command))) {
            is ProposalResult.Applied -> {
                val verdict = CatalogVerdict.valueOf(result.answer)
                if (verdict ==
                    CatalogVerdict.CONFLICT
                ) {
                    OperatorResult.Conflict
                } else {
                    OperatorResult.Done(log.state() ?: return OperatorResult.Unknown)
                }
            }

            is ProposalResult.NotLeader -> {
                result.leader?.takeIf { it.address != self }?.let { OperatorResult.LedBy(it.address.host) } ?: OperatorResult.Unknown
            }

            is ProposalResult.Refused, ProposalResult.Unknown -> {
                OperatorResult.Unknown
            }
        }
    }

    /** A process without a log knows no leader, but a member does. */
    private fun sentOn(): OperatorResult {
        val host =
            told.values
                .flatMap { it.controls }
                .firstOrNull { it.address != self }
                ?.address
                ?.host ?: return OperatorResult.Unknown
        return OperatorResult.LedBy(host)
    }

    private fun take(next: SharedState) {
        if (next.index == 0L || next.index <= (state?.index ?: 0L)) return
        state = next
        val number = next.catalog?.number ?: "none"
        logDecision(Decision(kind = "state", reason = "index ${next.index}: catalog $number, zones out ${next.zonesOut}"))
        tellState()
    }

    private fun tellState() {
        val known = state?.takeIf { isCurrent } ?: return
        val text = stateFrame(known)
        processes.keys.forEach { it.send(text) }
    }

    /** After a start the log is applied from its snapshot on; nobody is told what was in force long ago. */
    private fun noteCurrent(status: LogStatus?) {
        if (isCurrent || status == null) return
        isCurrent = status.leader != null && status.appliedIndex > 0 && status.appliedIndex == status.lastIndex
        if (isCurrent) {
            logDecision(
                Decision(kind = "state_current", reason = "index ${status.appliedIndex}, leader ${status.leader?.member}"),
            )
        }
        tellState()
    }

    /** The operator's text stays here; the other processes need its queues only. */
    private fun stateFrame(state: SharedState) =
        WireJson.encodeToString(ControlFrame(state = state.copy(catalog = state.catalog?.copy(document = ""))))

    private fun tick() {
        val now = clock.monotonic()
        startLog()
        val status = log.member?.status()
        noteCurrent(status)
        val members = status?.membership?.let { it.voters + it.learners }.orEmpty()
        // A newcomer knows no members, and the leader need not be at the address of a seed.
        val others = if (members.isEmpty()) told.values.flatMap { it.controls } else members
        val addresses = (others.map { it.address } + seeds).toSet() - self
        (addresses - dialers.keys).forEach { dial(it) }
        (dialers.keys - addresses).forEach { dialers.remove(it)?.stop() }
        dialers.values.forEach { it.check(now) }
        processes.keys.filter { now - it.heardAt > LINK_SILENCE }.forEach { it.close() }
        beat(now)
        tellDirectory(status)
        leadsSince = if (status?.role == Role.LEADER) leadsSince ?: now else null
        status?.let { watchVoters(now, it) }
        keepMembers(now)
        leaveIfRemoved(now, status)
    }

    private var beatAt = Duration.ZERO

    private fun beat(now: Duration) {
        if (now - beatAt < BEAT_PERIOD) return
        beatAt = now
        processes.keys.forEach { it.send(EMPTY_FRAME) }
        val ask = log.identity?.takeIf { log.isJoining }
        val text = if (ask == null) EMPTY_FRAME else WireJson.encodeToString(ControlFrame(joining = ask))
        dialers.values.forEach { it.link?.send(text) }
    }

    /** Names only members of a confirmed change: others give up their log, or dial, by what they are told. */
    private fun tellDirectory(status: LogStatus?) {
        val entries = processes.values.filter { it.role == ProcessRole.ENTRY }
        val members = status?.takeIf { it.isSettled }?.membership
        val next =
            if (members == null) {
                directory.copy(entries = entries)
            } else {
                Directory(controls = members.voters + members.learners, controlsIndex = members.index, entries = entries)
            }
        if (next == directory) return
        directory = next
        val text = WireJson.encodeToString(ControlFrame(directory = next))
        processes.keys.forEach { it.send(text) }
    }

    private fun watchVoters(
        now: Duration,
        status: LogStatus,
    ) {
        val since = leadsSince
        val others = status.membership.voters.filter { it.address != self }
        val silence = others.associate { it.member to silence(now, since ?: now, it.member) }
        watch.note(status.membership, since?.let { now - it }, silence, joining.values.associate { (member, at) -> member to now - at })
    }

    /** Returns how long [member] has not answered this process since it leads. */
    private fun silence(
        now: Duration,
        leadsSince: Duration,
        member: MemberId,
    ) = now - maxOf(transport.lastAnswer(member) ?: leadsSince, leadsSince)

    private fun keepMembers(now: Duration) {
        joining.values.removeAll { (_, at) -> now - at > JOIN_LIFE }
        val since = leadsSince ?: return
        val member = log.member ?: return
        if (isChanging || now - changedAt < CHANGE_PERIOD) return
        val silenceOf = { other: MemberAddress -> if (other.address == self) Duration.ZERO else silence(now, since, other.member) }
        val view = MemberKeeper.View(member.status().membership, joining.values.map { it.first }, silenceOf, self, ::zoneOf)
        val change = keeper.nextChange(view) ?: return
        isChanging = true
        changedAt = now
        scope.launch {
            val result = member.changeMembership(change)
            val reason = "${change.action.name.lowercase()} ${change.member} for ${change.replaces ?: "none"}: $result"
            logDecision(Decision(kind = "membership", reason = reason.take(LONGEST_REASON)))
            loop.execute { isChanging = false }
        }
    }

    /** Every control process dials the members of the log, so the leader knows their zones from what they said first. */
    private fun zoneOf(address: Address) = if (address == self) settings.zone else processes.values.find { it.address == address }?.zone

    /** A member that the others have removed never votes again, so it joins anew. */
    private fun leaveIfRemoved(
        now: Duration,
        status: LogStatus?,
    ) {
        val own = log.identity?.member
        val isAbsent = own != null && status != null && isRemoved(own, status.membership, status.isSettled, told.values)
        absentSince = if (isAbsent) absentSince ?: now else null
        val since = absentSince ?: return
        if (now - since < ABSENT_FOR) return
        absentSince = null
        scope.launch { log.startAfresh() }
    }

    private val told = ConcurrentHashMap<Address, Directory>()

    private fun dial(address: Address) {
        val dialer = FrameDialer(loop, clock, address, LINK_SILENCE, ClientListener(address))
        dialers[address] = dialer
        dialer.start()
    }

    private fun hello() = ProcessHello(settings.node, ProcessRole.CONTROL, incarnation, settings.zone, self, hasDisk)

    /** Links that other processes have dialled. */
    private inner class ServerListener : LinkListener {
        override fun onFrame(
            link: FrameLink,
            text: String,
        ) {
            val frame = WireJson.decodeFromString<ControlFrame>(text)
            frame.hello?.let { welcome(link, it) }
            frame.joining?.let { joining[it.address] = it to clock.monotonic() }
            val call = frame.call ?: return
            scope.launch {
                val reply = WireJson.encodeToString(ControlFrame(reply = log.answer(call)))
                loop.execute { link.send(reply) }
            }
        }

        override fun onClosed(link: FrameLink) {
            val gone = processes.remove(link) ?: return
            logDecision(Decision(kind = "process_gone", reason = "${gone.role.name.lowercase()} ${gone.node}"))
        }

        private fun welcome(
            link: FrameLink,
            hello: ProcessHello,
        ) {
            processes[link] = hello
            logDecision(Decision(kind = "process_seen", reason = "${hello.role.name.lowercase()} ${hello.node} at ${hello.address}"))
            state?.takeIf { isCurrent }?.let { link.send(stateFrame(it)) }
            link.send(WireJson.encodeToString(ControlFrame(directory = directory)))
        }
    }

    /** Links that this process has dialled to other control processes. */
    private inner class ClientListener(
        private val address: Address,
    ) : LinkListener {
        override fun onOpen(link: FrameLink) = link.send(WireJson.encodeToString(ControlFrame(hello = hello())))

        override fun onFrame(
            link: FrameLink,
            text: String,
        ) {
            if (text == EMPTY_FRAME) return
            val frame = WireJson.decodeFromString<ControlFrame>(text)
            frame.reply?.let { transport.onReply(it) }
            frame.directory?.let { told[address] = it }
        }

        override fun onClosed(link: FrameLink) {
            told.remove(address)
        }
    }

    private companion object {
        val TICK = 20.milliseconds
        val BEAT_PERIOD = 400.milliseconds

        /** A link without a frame for this long is taken for lost: four beats. */
        val LINK_SILENCE = 1600.milliseconds

        /** Longest time of a call between members: an election time. */
        val CALL_TIMEOUT = 700.milliseconds

        val JOIN_LIFE = 2.seconds

        /** Pause between two changes of the members, so that a refused one is not tried and logged with each look at the time. */
        val CHANGE_PERIOD = 500.milliseconds

        /** How long the others must name members without this one before it gives up its place. */
        val ABSENT_FOR = 3.seconds
        const val LONGEST_REASON = 300
        const val EMPTY_FRAME = "{}"
    }
}
