package io.bluebellramp.replication

import io.bluebellramp.core.MemberId
import io.bluebellramp.messages.MemberAddress
import io.bluebellramp.messages.MembershipRequest
import java.util.PriorityQueue
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Members in simulated time with a simulated network and simulated disks. All randomness comes from [random], so a run can be repeated
 * from its seed.
 */
internal class SimulatedCluster(
    val random: Random,
    founderCount: Int,
    var networkFaults: NetworkFaults,
    electsAtStart: Boolean = false,
    messagesCarryReceiverId: Boolean = false,
    learnerTimeoutMillis: Long = 60_000,
    maxUncommittedCharacters: Int = 100_000,
) {
    /** A simulated member. It keeps its disk and its clock across restarts; the core and the state machine are new after each. */
    inner class Node(
        val address: MemberAddress,
        val joining: Boolean,
    ) {
        val disk = SimulatedDisk()
        val clockOffset = random.nextInt(100_000).milliseconds

        /** The rates of two clocks differ by up to about 3%, less than [LogSettings.leaseDuration] allows for. */
        val clockRate = 0.985 + random.nextDouble() * 0.03
        var core: RaftCore? = null
        var machine = CheckedStateMachine(checker)

        /** Number of crashes. Events scheduled before a crash are dropped. */
        var incarnation = 0
        var pausedUntil = Duration.ZERO
        var leaseEnd: Duration? = null
        var hasLostDisk = false
        val outputQueue = ArrayList<Output>()
        var isSyncing = false
        val calls = HashMap<Long, (PeerResponse) -> Unit>()
        val proposals = HashMap<Long, (ProposalResult) -> Unit>()

        val id get() = address.member
        val clock get() = now * clockRate + clockOffset
        val holdsLeaderLease get() = leaseEnd?.let { clock < it } ?: false
    }

    private class Event(
        val time: Duration,
        val order: Long,
        val action: () -> Unit,
    )

    val checker = HistoryChecker()
    private val settings =
        LogSettings(
            electionMillis = 400,
            heartbeatMillis = 125,
            snapshotRecords = 15,
            maxSnapshotChunkCharacters = 100,
            learnerTimeoutMillis = learnerTimeoutMillis,
            maxUncommittedCharacters = maxUncommittedCharacters,
            electsAtStart = electsAtStart,
            messagesCarryReceiverId = messagesCarryReceiverId,
        )
    private val events = PriorityQueue(compareBy<Event> { it.time }.thenBy { it.order })
    private val foundingMembers = (0 until founderCount).map { address(('a' + it).toString()) }
    private var eventCount = 0L
    private var lastId = 0L
    val blockedLinks = HashSet<Pair<MemberId, MemberId>>()
    val nodes = LinkedHashMap<MemberId, Node>()
    var now = Duration.ZERO
        private set

    init {
        foundingMembers.forEach { add(it, joining = false) }
    }

    fun add(
        address: MemberAddress,
        joining: Boolean,
    ) = Node(address, joining).also {
        nodes[address.member] = it
        start(it)
    }

    fun start(node: Node) {
        if (node.core != null) return
        node.machine = CheckedStateMachine(checker)
        node.core = RaftCore(node.address, foundingMembers, node.joining, settings, node.machine, node.disk.state, random, node.clock)
        scheduleTick(node)
    }

    fun crash(node: Node) {
        if (node.core == null) return
        node.core = null
        node.incarnation++
        node.leaseEnd = null
        node.outputQueue.clear()
        node.isSyncing = false
        node.calls.clear()
        node.disk.crash(random)
        val openProposals = node.proposals.values.toList()
        node.proposals.clear()
        openProposals.forEach { it(ProposalResult.Unknown) }
    }

    fun scheduleAfter(
        delay: Duration,
        action: () -> Unit,
    ) {
        events += Event(now + delay, eventCount++, action)
    }

    fun runUntil(end: Duration) {
        while (events.isNotEmpty() && events.peek().time <= end) {
            val event = events.poll()
            now = event.time
            event.action()
        }
        now = end
    }

    fun propose(
        node: Node,
        command: String,
    ) {
        val core = node.core ?: return
        if (now < node.pausedUntil) return
        val operation = checker.onCall(command, now)
        val id = ++lastId
        node.proposals[id] = { checker.onReturn(operation, it) }
        core.onPropose(id, command)
        processOutput(node)
    }

    fun changeMembership(
        node: Node,
        request: MembershipRequest,
        onResult: (ProposalResult) -> Unit,
    ) {
        val core = node.core ?: return onResult(ProposalResult.Unknown)
        val id = ++lastId
        node.proposals[id] = onResult
        core.onMembershipChange(node.clock, id, request)
        processOutput(node)
    }

    /** Returns a readable description of each member's state, for failure messages. */
    fun describe() =
        nodes.values.joinToString("\n") { node ->
            val status = node.core?.status()
            "${node.id} lostDisk=${node.hasLostDisk} stage=${node.core?.stage} $status"
        }

    /** Runs [action] on [node] after [delay] unless it crashes before. A paused node runs it when it resumes. */
    private fun schedule(
        node: Node,
        delay: Duration,
        action: (RaftCore) -> Unit,
    ) {
        val incarnation = node.incarnation
        scheduleAfter(delay) {
            val core = node.core
            when {
                core == null || node.incarnation != incarnation -> {}

                now < node.pausedUntil -> {
                    schedule(node, node.pausedUntil - now, action)
                }

                else -> {
                    action(core)
                    processOutput(node)
                }
            }
        }
    }

    private fun scheduleTick(node: Node) {
        schedule(node, 12.milliseconds) {
            it.onTick(node.clock)
            scheduleTick(node)
        }
    }

    private fun processOutput(node: Node) {
        val core = node.core ?: return
        val output = core.takeOutput(node.clock)
        node.leaseEnd = core.leaseEnd(node.clock)
        output.immediateEffects.forEach { perform(node, it) }
        if (!output.isEmpty) node.outputQueue += output
        sync(node)
        checkInvariants(node, core)
    }

    private fun sync(node: Node) {
        if (node.isSyncing || node.outputQueue.isEmpty()) return
        val batch = node.outputQueue.toList()
        val writes = batch.flatMap { it.writes }
        node.outputQueue.clear()
        node.isSyncing = true
        node.disk.beginWrite(writes)
        val delay =
            if (writes.isEmpty()) {
                0
            } else if (random.nextInt(50) == 0) {
                random.nextInt(500)
            } else {
                1 + random.nextInt(6)
            }
        schedule(node, delay.milliseconds) { core ->
            node.disk.sync()
            node.isSyncing = false
            core.onSynced(batch.last().sequenceNumber)
            batch.forEach { output -> output.effectsAfterSync.forEach { perform(node, it) } }
        }
    }

    private fun perform(
        node: Node,
        effect: Effect,
    ) {
        when (effect) {
            is Effect.Send -> send(node, effect)
            is Effect.Reply -> node.calls.remove(effect.call)?.invoke(effect.response)
            is Effect.CompleteProposal -> node.proposals.remove(effect.proposal)?.invoke(effect.result)
        }
    }

    private fun send(
        from: Node,
        effect: Effect.Send,
    ) {
        var hasResponded = false
        val respond = { response: PeerResponse? ->
            if (!hasResponded) {
                hasResponded = true
                schedule(from, Duration.ZERO) { it.onResponse(from.clock, effect.to, effect.request, response) }
            }
        }
        val incarnation = from.incarnation
        scheduleAfter(RESPONSE_TIMEOUT) { if (from.incarnation == incarnation) respond(null) }
        val to = nodes[effect.to.member] ?: return
        deliver(from, to) {
            receive(to, effect.request) { response ->
                deliver(to, from) { if (from.incarnation == incarnation) respond(response) }
            }
        }
    }

    private fun receive(
        node: Node,
        request: PeerRequest,
        reply: (PeerResponse) -> Unit,
    ) {
        val call = ++lastId
        schedule(node, Duration.ZERO) { core ->
            node.calls[call] = {
                checkResponse(node, core, request, it)
                reply(it)
            }
            core.onRequest(node.clock, call, request)
        }
    }

    private fun deliver(
        from: Node,
        to: Node,
        onArrival: () -> Unit,
    ) {
        val copies = if (random.nextDouble() < networkFaults.duplicateChance) 2 else 1
        repeat(copies) {
            val delay = if (random.nextDouble() < networkFaults.delayChance) random.nextInt(900) else 1 + random.nextInt(4)
            val isDropped = random.nextDouble() < networkFaults.dropChance || (from.id to to.id) in blockedLinks
            if (!isDropped) scheduleAfter(delay.milliseconds) { if ((from.id to to.id) !in blockedLinks) onArrival() }
        }
    }

    private fun checkResponse(
        node: Node,
        core: RaftCore,
        request: PeerRequest,
        response: PeerResponse,
    ) {
        val isVoteGranted = response is PeerResponse.Vote && response.body.granted
        val isAppendAccepted = response is PeerResponse.Append && response.body.accepted
        check(!node.hasLostDisk || !(isVoteGranted || isAppendAccepted)) { "${node.id} lost its disk but answers $response" }
        val retired = core.status().membership.let { if (it.index <= core.status().commitIndex) it.retired else emptyList() }
        val sender =
            when (request) {
                is PeerRequest.Vote -> request.body.candidate
                is PeerRequest.Append -> request.body.leader.member
                is PeerRequest.Snapshot -> request.body.leader.member
            }
        check(sender !in retired || !(isVoteGranted || isAppendAccepted)) { "${node.id} answers the retired member $sender with $response" }
    }

    private fun checkInvariants(
        node: Node,
        core: RaftCore,
    ) {
        if (core.role == Role.LEADER) checker.onLeader(node.id, core.term)
        // A member that elects at its start may break a lease that it acknowledged before, so the lease guarantees nothing.
        if (settings.electsAtStart) return
        val holders = nodes.values.filter { it.holdsLeaderLease }
        check(holders.size < 2) { "two members report a majority at the same time: ${holders.map { it.id }}" }
        holders.forEach { checker.onMajority(it.id, checkNotNull(it.core).term, it.machine.commands.size) }
    }

    private companion object {
        val RESPONSE_TIMEOUT = 300.milliseconds
    }
}
