package io.bluebellramp.replication

import io.bluebellramp.core.MemberId
import io.bluebellramp.messages.MemberAddress
import io.bluebellramp.messages.MembershipRequest
import java.util.PriorityQueue
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Members in virtual time over a fake network and fake disks. All chance comes from [random]. */
internal class FakeCluster(
    val random: Random,
    founders: Int,
    var chaos: Chaos,
    electsAtStart: Boolean = false,
    namesReceiver: Boolean = false,
    learnerSilenceMillis: Long = 60_000,
) {
    inner class Node(
        val address: MemberAddress,
        val joining: Boolean,
    ) {
        val disk = FakeDisk()
        val offset = random.nextInt(100_000).milliseconds
        val rate = 0.985 + random.nextDouble() * 0.03
        var core: RaftCore? = null
        var machine = CheckedMachine(checker)
        var run = 0
        var frozenUntil = Duration.ZERO
        var leaseEnd: Duration? = null
        var isLost = false
        val queue = ArrayList<Output>()
        var isSyncing = false
        val calls = HashMap<Long, (PeerResponse) -> Unit>()
        val proposals = HashMap<Long, (ProposalResult) -> Unit>()

        val id get() = address.member
        val time get() = now * rate + offset
        val holdsMajority get() = leaseEnd?.let { time < it } ?: false
    }

    private class Event(
        val at: Duration,
        val order: Long,
        val action: () -> Unit,
    )

    val checker = HistoryChecker()
    private val settings =
        LogSettings(
            electionMillis = 400,
            heartbeatMillis = 125,
            snapshotRecords = 15,
            snapshotPart = 100,
            learnerSilenceMillis = learnerSilenceMillis,
            electsAtStart = electsAtStart,
            namesReceiver = namesReceiver,
        )
    private val events = PriorityQueue(compareBy<Event> { it.at }.thenBy { it.order })
    private val founding = (0 until founders).map { address(('a' + it).toString()) }
    private var order = 0L
    private var numbers = 0L
    val blocked = HashSet<Pair<MemberId, MemberId>>()
    val nodes = LinkedHashMap<MemberId, Node>()
    var now = Duration.ZERO
        private set

    init {
        founding.forEach { add(it, joining = false) }
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
        node.machine = CheckedMachine(checker)
        node.core = RaftCore(node.address, founding, node.joining, settings, node.machine, node.disk.state, random, node.time)
        tick(node)
    }

    fun crash(node: Node) {
        if (node.core == null) return
        node.core = null
        node.run++
        node.leaseEnd = null
        node.queue.clear()
        node.isSyncing = false
        node.calls.clear()
        node.disk.crash(random)
        val open = node.proposals.values.toList()
        node.proposals.clear()
        open.forEach { it(ProposalResult.Unknown) }
    }

    fun after(
        delay: Duration,
        action: () -> Unit,
    ) {
        events += Event(now + delay, order++, action)
    }

    fun runUntil(end: Duration) {
        while (events.isNotEmpty() && events.peek().at <= end) {
            val event = events.poll()
            now = event.at
            event.action()
        }
        now = end
    }

    fun propose(
        node: Node,
        command: String,
    ) {
        val core = node.core ?: return
        if (now < node.frozenUntil) return
        val operation = checker.call(command, now)
        val id = ++numbers
        node.proposals[id] = { checker.returned(operation, it) }
        core.onPropose(id, command)
        finish(node)
    }

    fun change(
        node: Node,
        request: MembershipRequest,
        onResult: (ProposalResult) -> Unit,
    ) {
        val core = node.core ?: return onResult(ProposalResult.Unknown)
        val id = ++numbers
        node.proposals[id] = onResult
        core.onChange(node.time, id, request)
        finish(node)
    }

    /** Returns the state of each member for people. */
    fun describe() =
        nodes.values.joinToString("\n") { node ->
            val status = node.core?.status()
            "${node.id} lost=${node.isLost} stage=${node.core?.stage} $status"
        }

    /** Runs [action] at [node] unless it crashes before; a frozen node runs it when it wakes. */
    private fun at(
        node: Node,
        delay: Duration,
        action: (RaftCore) -> Unit,
    ) {
        val run = node.run
        after(delay) {
            val core = node.core
            when {
                core == null || node.run != run -> {}

                now < node.frozenUntil -> {
                    at(node, node.frozenUntil - now, action)
                }

                else -> {
                    action(core)
                    finish(node)
                }
            }
        }
    }

    private fun tick(node: Node) {
        at(node, 12.milliseconds) {
            it.onTick(node.time)
            tick(node)
        }
    }

    private fun finish(node: Node) {
        val core = node.core ?: return
        val output = core.take(node.time)
        node.leaseEnd = core.leaseEnd(node.time)
        output.atOnce.forEach { perform(node, it) }
        if (!output.isEmpty) node.queue += output
        sync(node)
        observe(node, core)
    }

    private fun sync(node: Node) {
        if (node.isSyncing || node.queue.isEmpty()) return
        val batch = node.queue.toList()
        val writes = batch.flatMap { it.writes }
        node.queue.clear()
        node.isSyncing = true
        node.disk.begin(writes)
        val delay =
            if (writes.isEmpty()) {
                0
            } else if (random.nextInt(50) == 0) {
                random.nextInt(500)
            } else {
                1 + random.nextInt(6)
            }
        at(node, delay.milliseconds) { core ->
            node.disk.sync()
            node.isSyncing = false
            core.onSynced(batch.last().number)
            batch.forEach { output -> output.afterSync.forEach { perform(node, it) } }
        }
    }

    private fun perform(
        node: Node,
        effect: Effect,
    ) {
        when (effect) {
            is Effect.Send -> send(node, effect)
            is Effect.Reply -> node.calls.remove(effect.call)?.invoke(effect.response)
            is Effect.Finish -> node.proposals.remove(effect.proposal)?.invoke(effect.result)
        }
    }

    private fun send(
        from: Node,
        effect: Effect.Send,
    ) {
        var isAnswered = false
        val answer = { response: PeerResponse? ->
            if (!isAnswered) {
                isAnswered = true
                at(from, Duration.ZERO) { it.onResponse(from.time, effect.to, effect.request, response) }
            }
        }
        val run = from.run
        after(ANSWER_TIMEOUT) { if (from.run == run) answer(null) }
        val to = nodes[effect.to.member] ?: return
        travel(from, to) { receive(to, effect.request) { response -> travel(to, from) { if (from.run == run) answer(response) } } }
    }

    private fun receive(
        node: Node,
        request: PeerRequest,
        reply: (PeerResponse) -> Unit,
    ) {
        val call = ++numbers
        at(node, Duration.ZERO) { core ->
            node.calls[call] = {
                guard(node, core, request, it)
                reply(it)
            }
            core.onRequest(node.time, call, request)
        }
    }

    private fun travel(
        from: Node,
        to: Node,
        arrive: () -> Unit,
    ) {
        val copies = if (random.nextDouble() < chaos.twice) 2 else 1
        repeat(copies) {
            val delay = if (random.nextDouble() < chaos.late) random.nextInt(900) else 1 + random.nextInt(4)
            val isDropped = random.nextDouble() < chaos.drop || (from.id to to.id) in blocked
            if (!isDropped) after(delay.milliseconds) { if ((from.id to to.id) !in blocked) arrive() }
        }
    }

    private fun guard(
        node: Node,
        core: RaftCore,
        request: PeerRequest,
        response: PeerResponse,
    ) {
        val isVote = response is PeerResponse.Vote && response.body.granted
        val isAppend = response is PeerResponse.Append && response.body.accepted
        check(!node.isLost || !(isVote || isAppend)) { "${node.id} lost its folder and answers $response" }
        val retired = core.status().membership.let { if (it.index <= core.status().commitIndex) it.retired else emptyList() }
        val sender =
            when (request) {
                is PeerRequest.Vote -> request.body.candidate
                is PeerRequest.Append -> request.body.leader.member
                is PeerRequest.Snapshot -> request.body.leader.member
            }
        check(sender !in retired || !(isVote || isAppend)) { "${node.id} answers the retired $sender with $response" }
    }

    private fun observe(
        node: Node,
        core: RaftCore,
    ) {
        if (core.role == Role.LEADER) checker.leads(node.id, core.term)
        // Without the wait after a start the lease promises nothing, and nobody reads under it.
        if (settings.electsAtStart) return
        val holders = nodes.values.filter { it.holdsMajority }
        check(holders.size < 2) { "two members hold a majority: ${holders.map { it.id }}" }
        holders.forEach { checker.holdsMajority(it.id, checkNotNull(it.core).term, it.machine.commands.size) }
    }

    private companion object {
        val ANSWER_TIMEOUT = 300.milliseconds
    }
}
