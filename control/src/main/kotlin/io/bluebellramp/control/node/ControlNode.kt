package io.bluebellramp.control.node

import io.bluebellramp.core.Address
import io.bluebellramp.core.Clock
import io.bluebellramp.core.IncarnationId
import io.bluebellramp.core.MemberId
import io.bluebellramp.core.ServiceId
import io.bluebellramp.core.WireJson
import io.bluebellramp.core.ZoneId
import io.bluebellramp.messages.Catalog
import io.bluebellramp.messages.ControlFrame
import io.bluebellramp.messages.Directory
import io.bluebellramp.messages.MemberAddress
import io.bluebellramp.messages.NodeSettings
import io.bluebellramp.messages.ProcessHello
import io.bluebellramp.messages.ProcessRole
import io.bluebellramp.messages.ServiceAgents
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
import io.bluebellramp.transport.SharedFrame
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

/** Result of an operator's change or read. */
sealed interface OperatorResult {
    /** The operation was committed; [state] is the state after it. */
    data class Done(
        val state: SharedState,
    ) : OperatorResult

    /** A different catalog with the same number is in force. */
    data object Conflict : OperatorResult

    /** Another process is the leader or knows it; its host is [host]. */
    data class LedBy(
        val host: String,
    ) : OperatorResult

    /** The outcome is unknown: no leader is known, or leadership was lost during the call. */
    data object Unknown : OperatorResult
}

/**
 * A control process that finds the others through seed addresses. It keeps the catalog and the zones out of service in a replicated log,
 * and sends each change to every entry and agent that connects.
 */
class ControlNode(
    private val settings: NodeSettings,
    private val loop: EventLoop,
    private val clock: Clock,
) : AutoCloseable {
    private val self = LinkPorts.control(settings, settings.host)
    private var seeds = settings.seeds.map { LinkPorts.control(settings, it.host) }
    private val incarnation = IncarnationId.create()
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
    private val dialers = HashMap<Address, FrameDialer>()
    private val processes = HashMap<FrameLink, ProcessHello>()

    /** The last member that asked to join from each address, and when. */
    private val joinRequests = HashMap<Address, Pair<MemberAddress, Duration>>()
    private val membershipPlanner = MembershipPlanner(settings.toleratedLosses, founders = seeds.size)
    private val voterMonitor = VoterMonitor()
    private val transport = LinkLogTransport(loop, clock, CALL_TIMEOUT) { dialers[it]?.link }
    private var state: SharedState? = null

    /** The state that [encodedFrame] holds. */
    private var encodedState: SharedState? = null
    private var encodedFrame: SharedFrame? = null
    private var directory = Directory(controls = emptyList(), entries = emptyList())
    private var leaderSince: Duration? = null

    private val hasDisk = settings.dataFolder.isNotEmpty()
    private var isLogStarted = false

    /** True once this member has applied the whole log known under a leader. */
    private var isCurrent = false
    private var isMembershipChanging = false
    private var membershipChangedAt = Duration.ZERO
    private var removedSince: Duration? = null
    private val log =
        LogSupervisor(
            Path.of(settings.dataFolder),
            self,
            transport,
            clock,
        ) { next -> loop.execute { onStateApplied(next) } }
    private val server = FrameServer(loop, clock, self.host, self.port, ServerListener())

    /** True while a leader is known. */
    val isReady: Boolean get() = log.member?.status()?.leader != null

    /** Number of voters that do not answer, if this process is the leader; otherwise 0. */
    val silentVoters: Int get() = voterMonitor.silentVoters

    /** True if this process sends the state to entries and agents. */
    val servesState: Boolean get() = isCurrent

    /** Status of the log, or null while the disk is unusable. */
    internal val logStatus: LogStatus? get() = log.member?.status()

    /** The voters, as this member knows them. */
    val voters: List<MemberAddress>
        get() =
            log.member
                ?.status()
                ?.membership
                ?.voters
                .orEmpty()

    /** Starts the server and the connections to the other control processes. */
    fun start() {
        server.start()
        if (!hasDisk) logDecision(Decision(kind = "log_none", reason = "no data folder: this process keeps no log and redirects operators"))
        loop.every(TICK_INTERVAL) { tick() }
    }

    /** Starts the log. A seed with an empty folder first finds out whether it is a founder. */
    private fun startLog() {
        if (isLogStarted || !hasDisk) return
        val role = if (self !in seeds || log.hasIdentity) FoundingRole.Join else foundingRole() ?: return
        isLogStarted = true
        val founders = (role as? FoundingRole.Found)?.founders.orEmpty()
        logDecision(Decision(kind = "log_start", reason = "founders $founders, told to found: ${settings.founding}, seeds $seeds"))
        log.start(founders)
    }

    private fun foundingRole(): FoundingRole? {
        if (!settings.founding) return foundingRoleOfRestarted(self, receivedDirectories, clock.monotonic() - createdAt)
        // Only seeds with a disk keep a log, so a founder waits until it knows which ones have one.
        val knownAddresses = processes.values.map { it.address } + self
        if (!knownAddresses.containsAll(seeds)) return null
        val diskless = processes.values.filterNot { it.hasDisk }.map { it.address }
        return FoundingRole.Found(seeds - diskless.toSet())
    }

    /** Puts [catalog] in force unless a catalog with a higher number is. */
    suspend fun replaceCatalog(catalog: Catalog): OperatorResult = propose(CatalogCommand(catalog = catalog))

    /** Takes [zone] out of service, or returns it to service. */
    suspend fun setZone(
        zone: ZoneId,
        isOut: Boolean,
    ): OperatorResult = propose(if (isOut) CatalogCommand(zoneOut = zone) else CatalogCommand(zoneIn = zone))

    /**
     * Reads the state, which includes every change answered before this call. The read goes through the log, because a leader lease is
     * unsafe if this VM was suspended.
     */
    suspend fun readCatalog(): OperatorResult = propose(CatalogCommand())

    /** Replaces the seed addresses with [next]. */
    fun updateSeeds(next: List<Address>) {
        seeds = next.map { LinkPorts.control(settings, it.host) }
    }

    override fun close() {
        scope.cancel()
        log.close()
    }

    private suspend fun propose(command: CatalogCommand): OperatorResult {
        val member = log.member ?: return redirectToMember()
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

    /** Redirects to a member of the log, because a process without a log does not know the leader. */
    private fun redirectToMember(): OperatorResult {
        val host =
            receivedDirectories.values
                .flatMap { it.controls }
                .firstOrNull { it.address != self }
                ?.address
                ?.host ?: return OperatorResult.Unknown
        return OperatorResult.LedBy(host)
    }

    private fun onStateApplied(next: SharedState) {
        if (next.index == 0L || next.index <= (state?.index ?: 0L)) return
        state = next
        val number = next.catalog?.number ?: "none"
        logDecision(Decision(kind = "state", reason = "index ${next.index}: catalog $number, zones out ${next.zonesOut}"))
        broadcastState()
    }

    private fun broadcastState() {
        val frame = stateFrame() ?: return
        processes.keys.forEach { it.send(frame) }
    }

    /** Until a restarted member has applied its whole log, its state may be outdated and is not sent. */
    private fun updateIsCurrent(status: LogStatus?) {
        if (isCurrent || status == null) return
        isCurrent = status.leader != null && status.appliedIndex > 0 && status.appliedIndex == status.lastIndex
        if (isCurrent) {
            logDecision(
                Decision(kind = "state_current", reason = "index ${status.appliedIndex}, leader ${status.leader?.member}"),
            )
        }
        broadcastState()
    }

    /**
     * Returns the frame with the state, or null if the state may not be sent. Leaves out the catalog's source text, because other processes need only
     * its parsed queues and services.
     */
    private fun stateFrame(): SharedFrame? {
        val known = state?.takeIf { isCurrent } ?: return null
        if (known !== encodedState) {
            encodedFrame?.release()
            encodedFrame =
                SharedFrame(WireJson.encodeToString(ControlFrame(state = known.copy(catalog = known.catalog?.copy(document = "")))))
            encodedState = known
        }
        return encodedFrame
    }

    private fun tick() {
        val now = clock.monotonic()
        startLog()
        val status = log.member?.status()
        updateIsCurrent(status)
        val members = status?.membership?.let { it.voters + it.learners }.orEmpty()
        // A new member knows no members yet, and the leader may not be at a seed address.
        val others = if (members.isEmpty()) receivedDirectories.values.flatMap { it.controls } else members
        val addresses = (others.map { it.address } + seeds).toSet() - self
        (addresses - dialers.keys).forEach { dial(it) }
        (dialers.keys - addresses).forEach { dialers.remove(it)?.stop() }
        dialers.values.forEach { it.closeIfSilent(now) }
        processes.keys.toList().forEach { it.closeIfSilent(LINK_TIMEOUT, now) }
        sendHeartbeats(now)
        broadcastDirectory(status)
        leaderSince = if (status?.role == Role.LEADER) leaderSince ?: now else null
        status?.let { watchVoters(now, it) }
        adjustMembership(now)
        rejoinIfRemoved(now, status)
    }

    private var heartbeatSentAt = Duration.ZERO
    private val createdAt = clock.monotonic()
    private var announcedAgents = emptyList<ServiceAgents>()
    private val servicesOfAgents = HashMap<FrameLink, ServiceId>()

    private fun sendHeartbeats(now: Duration) {
        if (now - heartbeatSentAt < HEARTBEAT_INTERVAL) return
        heartbeatSentAt = now
        val agents = if (now - createdAt < AGENT_COUNT_DELAY) emptyList() else countAgents()
        val heartbeat = if (agents == announcedAgents) EMPTY_FRAME else WireJson.encodeToString(ControlFrame(agents = agents))
        announcedAgents = agents
        processes.keys.forEach { it.send(heartbeat) }
        val joinRequest = log.identity?.takeIf { log.isJoining }
        val text = if (joinRequest == null) EMPTY_FRAME else WireJson.encodeToString(ControlFrame(joining = joinRequest))
        dialers.values.forEach { it.link?.send(text) }
    }

    private fun countAgents(): List<ServiceAgents> =
        servicesOfAgents.values
            .groupingBy { it }
            .eachCount()
            .map { (service, count) -> ServiceAgents(service, count) }
            .sortedBy { it.service.value }

    /** Lists only members of a confirmed change, because receivers discard their log or open links according to the directory. */
    private fun broadcastDirectory(status: LogStatus?) {
        val entries = processes.values.filter { it.role == ProcessRole.ENTRY }
        val members = status?.takeIf { it.isSettled }?.membership
        val known = members?.let { directory.copy(controls = it.voters + it.learners, controlsIndex = it.index) } ?: directory
        val next = known.copy(entries = entries, founders = log.awaitedFounders)
        if (next == directory) return
        directory = next
        val text = WireJson.encodeToString(ControlFrame(directory = next))
        processes.keys.forEach { it.send(text) }
    }

    private fun watchVoters(
        now: Duration,
        status: LogStatus,
    ) {
        val since = leaderSince
        val others = status.membership.voters.filter { it.address != self }
        val silence = others.associate { it.member to silence(now, since ?: now, it.member) }
        voterMonitor.update(
            status.membership,
            since?.let { now - it },
            silence,
            joinRequests.values.associate { (member, at) ->
                member to
                    now - at
            },
        )
    }

    /** Returns the time since [member] last answered this process, or since this process became the leader if that is later. */
    private fun silence(
        now: Duration,
        leaderSince: Duration,
        member: MemberId,
    ) = now - maxOf(transport.lastAnsweredAt(member) ?: leaderSince, leaderSince)

    private fun adjustMembership(now: Duration) {
        joinRequests.values.removeAll { (_, at) -> now - at > JOIN_REQUEST_TIMEOUT }
        val since = leaderSince ?: return
        val member = log.member ?: return
        if (isMembershipChanging || now - membershipChangedAt < MEMBERSHIP_CHANGE_INTERVAL) return
        val silenceOf = { other: MemberAddress -> if (other.address == self) Duration.ZERO else silence(now, since, other.member) }
        val view = MembershipPlanner.LeaderView(member.status().membership, joinRequests.values.map { it.first }, silenceOf, self, ::zoneOf)
        val change = membershipPlanner.nextChange(view) ?: return
        isMembershipChanging = true
        membershipChangedAt = now
        scope.launch {
            val result = member.changeMembership(change)
            val reason = "${change.action.name.lowercase()} ${change.member} for ${change.replaces ?: "none"}: $result"
            logDecision(Decision(kind = "membership", reason = reason.take(MAX_REASON_CHARACTERS)))
            loop.execute { isMembershipChanging = false }
        }
    }

    /** Every control process connects to the members of the log, so the leader knows their zones from their hello. */
    private fun zoneOf(address: Address) = if (address == self) settings.zone else processes.values.find { it.address == address }?.zone

    /** A removed member can never vote again, so it joins as a new member. */
    private fun rejoinIfRemoved(
        now: Duration,
        status: LogStatus?,
    ) {
        val ownId = log.identity?.member
        val isRemovedByOthers =
            ownId != null && status != null && isRemoved(ownId, status.membership, status.isSettled, receivedDirectories.values)
        removedSince = if (isRemovedByOthers) removedSince ?: now else null
        val since = removedSince ?: return
        if (now - since < REJOIN_DELAY) return
        removedSince = null
        scope.launch { log.rejoinAsNewMember() }
    }

    private val receivedDirectories = ConcurrentHashMap<Address, Directory>()

    private fun dial(address: Address) {
        val dialer = FrameDialer(loop, clock, address, LINK_TIMEOUT, ClientListener(address))
        dialers[address] = dialer
        dialer.start()
    }

    private fun hello() = ProcessHello(settings.node, ProcessRole.CONTROL, incarnation, settings.zone, self, hasDisk)

    /** Handles links that other processes have opened. */
    private inner class ServerListener : LinkListener {
        override fun onFrame(
            link: FrameLink,
            text: String,
        ) {
            val frame = WireJson.decodeFromString<ControlFrame>(text)
            frame.hello?.let { register(link, it) }
            frame.service?.let { servicesOfAgents[link] = it }
            frame.joining?.let { joinRequests[it.address] = it to clock.monotonic() }
            val call = frame.call ?: return
            scope.launch {
                val reply = WireJson.encodeToString(ControlFrame(reply = log.answer(call)))
                loop.execute { link.send(reply) }
            }
        }

        override fun onClosed(link: FrameLink) {
            servicesOfAgents.remove(link)
            val closedProcess = processes.remove(link) ?: return
            logDecision(Decision(kind = "process_gone", reason = "${closedProcess.role.name.lowercase()} ${closedProcess.node}"))
        }

        private fun register(
            link: FrameLink,
            hello: ProcessHello,
        ) {
            processes[link] = hello
            logDecision(Decision(kind = "process_seen", reason = "${hello.role.name.lowercase()} ${hello.node} at ${hello.address}"))
            stateFrame()?.let { link.send(it) }
            link.send(WireJson.encodeToString(ControlFrame(directory = directory, agents = announcedAgents)))
        }
    }

    /** Handles links that this process has opened to other control processes. */
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
            frame.directory?.let { receivedDirectories[address] = it }
        }

        override fun onClosed(link: FrameLink) {
            receivedDirectories.remove(address)
        }
    }

    private companion object {
        val TICK_INTERVAL = 20.milliseconds
        val HEARTBEAT_INTERVAL = 400.milliseconds

        /** A link without a frame for this long is closed: four heartbeats. */
        val LINK_TIMEOUT = 1600.milliseconds

        /** Timeout of a call between members; equals the election timeout. */
        val CALL_TIMEOUT = 700.milliseconds

        val JOIN_REQUEST_TIMEOUT = 2.seconds

        /** Time until nearly all agents have connected; a smaller count would make each of them connect to more entries. */
        val AGENT_COUNT_DELAY = 5.seconds

        /** Pause between two membership changes, so that a refused change is not retried and logged on every tick. */
        val MEMBERSHIP_CHANGE_INTERVAL = 500.milliseconds

        /** How long the other members must report this one as removed before it joins as a new member. */
        val REJOIN_DELAY = 3.seconds
        const val MAX_REASON_CHARACTERS = 300
        const val EMPTY_FRAME = "{}"
    }
}
