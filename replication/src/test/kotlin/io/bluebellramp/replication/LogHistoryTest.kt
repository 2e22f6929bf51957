package io.bluebellramp.replication

import io.bluebellramp.core.MemberId
import io.bluebellramp.messages.MembershipAction
import io.bluebellramp.messages.MembershipRequest
import org.junit.jupiter.api.Test
import kotlin.random.Random
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** One seeded history: faults of all kinds at random times, then a time of health in which all must come right again. */
internal class LogHistory(
    seed: Long,
    electsAtStart: Boolean = false,
    private val namesReceiver: Boolean = false,
) {
    private val random = Random(seed)
    private val founders = if (random.nextInt(4) == 0) 5 else 3
    val cluster = FakeCluster(random, founders, chaos(), electsAtStart, namesReceiver)
    private var commands = 0
    private var replacement: MembershipRequest? = null
    private var isChanging = false
    private var spares = (founders - 1) / 2
    var replaced = 0
    var isSecondLost = false

    private val live get() = cluster.nodes.values.filter { !it.isLost && it.id !in gone }
    private val gone = HashSet<MemberId>()

    private fun chaos() =
        when (random.nextInt(4)) {
            0 -> Chaos(0.0, 1.0, 0.02)
            1 -> Chaos(0.1, 0.1, 0.1)
            2 -> Chaos(0.02, 0.3, 0.05)
            else -> Chaos(0.0, 0.0, 0.0)
        }

    fun run() {
        callers()
        operator()
        if (random.nextInt(3) > 0) cluster.runUntil(1500.milliseconds)
        while (cluster.now < FAULTS_END) {
            fault()
            cluster.runUntil(cluster.now + (100 + random.nextInt(500)).milliseconds)
        }
        heal()
        cluster.runUntil(cluster.now + HEALTH)
        end()
    }

    private fun pause() = cluster.after((1 + random.nextInt(60)).milliseconds) { callers() }

    private fun callers() {
        if (cluster.now > CALLS_END) return
        cluster.nodes.values.forEach { node ->
            if (node.core?.role == Role.LEADER || random.nextInt(20) == 0) cluster.propose(node, "c${commands++}")
        }
        pause()
    }

    /** Asks for the wanted replacement until it is done, and for what must be refused. */
    private fun operator() {
        cluster.after(150.milliseconds) { operator() }
        val leader = cluster.nodes.values.find { it.core?.role == Role.LEADER && cluster.now >= it.frozenUntil } ?: return
        val request = replacement
        if (request != null && !isChanging) {
            isChanging = true
            cluster.change(leader, request) { onReplaced(request, it) }
        }
        val retired =
            checkNotNull(leader.core)
                .status()
                .membership.retired
                .firstOrNull() ?: return
        val again = MembershipRequest(MembershipAction.ADD, retired, address(retired.value).address)
        cluster.change(leader, again) { check(it !is ProposalResult.Applied) { "the retired $retired came back" } }
    }

    private fun onReplaced(
        request: MembershipRequest,
        result: ProposalResult,
    ) {
        isChanging = false
        val isDone = result is ProposalResult.Applied || (result is ProposalResult.Refused && "voter already" in result.reason)
        if (!isDone || replacement != request) return
        replacement = null
        replaced++
        request.replaces?.let { cluster.start(cluster.nodes.getValue(it)) }
        if (spares == 0 && random.nextBoolean() && !isSecondLost) loseSecond(request.member)
    }

    /** Loses another member for good at the moment the replacement is accepted. */
    private fun loseSecond(newcomer: MemberId) {
        val victim = live.filter { it.id != newcomer }.random(random)
        isSecondLost = true
        gone += victim.id
        cluster.after(Duration.ZERO) { cluster.crash(victim) }
    }

    private fun fault() {
        val node = live.random(random)
        when (random.nextInt(10)) {
            0, 1 -> {
                restart(node)
            }

            2 -> {
                isolate(node)
            }

            3 -> {
                cluster.nodes.values
                    .find { it.core?.role == Role.LEADER }
                    ?.let(::isolate)
            }

            4, 5 -> {
                node.frozenUntil = cluster.now + random.nextInt(1500).milliseconds
            }

            6 -> {
                replace(node)
            }

            7 -> {
                live.forEach { if (random.nextBoolean()) restart(it) }
            }

            8 -> {
                oneWay(node, live.random(random))
            }

            else -> {
                cluster.blocked.clear()
            }
        }
    }

    private fun restart(node: FakeCluster.Node) {
        cluster.crash(node)
        val delay = if (random.nextBoolean()) random.nextInt(60) else random.nextInt(1500)
        cluster.after(delay.milliseconds) { if (node.id !in gone) cluster.start(node) }
    }

    private fun isolate(node: FakeCluster.Node) {
        cluster.nodes.keys.forEach {
            cluster.blocked += node.id to it
            cluster.blocked += it to node.id
        }
        cluster.after((200 + random.nextInt(2500)).milliseconds) { cluster.blocked.clear() }
    }

    private fun oneWay(
        from: FakeCluster.Node,
        to: FakeCluster.Node,
    ) {
        cluster.blocked += from.id to to.id
    }

    /**
     * Has [node] replaced. It restarts under its old id: with an empty folder soon, or with its old folder once it is retired. Where messages
     * name their receiver an empty folder never has an old id.
     */
    private fun replace(node: FakeCluster.Node) {
        val hasLed = cluster.checker.accepted > 0
        if (replacement != null || spares == 0 || !hasLed) return
        spares--
        cluster.crash(node)
        if (random.nextInt(3) > 0) {
            node.disk.wipe()
            node.isLost = true
            if (!namesReceiver) cluster.after(random.nextInt(500).milliseconds) { cluster.start(node) }
        } else {
            gone += node.id
        }
        val newcomer = address(('p' + replaced).toString())
        cluster.add(newcomer, joining = true)
        replacement = MembershipRequest(MembershipAction.REPLACE, newcomer.member, newcomer.address, node.id)
    }

    private fun heal() {
        cluster.blocked.clear()
        cluster.chaos = Chaos(0.0, 0.0, 0.0)
        cluster.nodes.values.forEach { it.frozenUntil = Duration.ZERO }
        live.forEach { cluster.start(it) }
    }

    private fun end() {
        check(replacement == null) { "the replacement $replacement is not done" }
        check(cluster.nodes.values.count { it.holdsMajority } == 1) { "no leader at the end: ${cluster.describe()}" }
        val members = cluster.nodes.values.filter { it.core?.status()?.role in listOf(Role.LEADER, Role.FOLLOWER) && !it.isLost }
        members.filter { it.id !in retired() && it.id !in gone }.forEach { cluster.checker.ends(it.machine.commands.size) }
        check(cluster.checker.accepted > 0) { "nothing was accepted" }
    }

    private fun retired() =
        cluster.nodes.values
            .first { it.holdsMajority }
            .core!!
            .status()
            .membership.retired

    private companion object {
        val FAULTS_END = 9.seconds
        val HEALTH = 8.seconds
        val CALLS_END = FAULTS_END + 5.seconds
    }
}

class LogHistoryTest {
    private val seeds: LongRange =
        System
            .getProperty("bluebellramp.seed")
            .orEmpty()
            .toLongOrNull()
            ?.let { it..it }
            ?: (1L..(System.getProperty("bluebellramp.seeds").orEmpty().toLongOrNull() ?: DEFAULT_SEEDS))

    @Test
    fun `keep every promise under crashes, cuts, freezes and lost disks`() = play(electsAtStart = false)

    @Test
    fun `keep every promise but the lease where members elect as soon as they start`() = play(electsAtStart = true)

    @Test
    fun `keep every promise but the lease where a newcomer is heard at once under its new id`() =
        play(electsAtStart = true, namesReceiver = true)

    private fun play(
        electsAtStart: Boolean,
        namesReceiver: Boolean = false,
    ) {
        var accepted = 0L
        var elections = 0L
        var replaced = 0
        var second = 0
        val failures = ArrayList<String>()
        for (seed in seeds) {
            val history = LogHistory(seed, electsAtStart, namesReceiver)
            runCatching { history.run() }.onFailure { failures += "seed $seed: $it" }
            accepted += history.cluster.checker.accepted
            elections += history.cluster.checker.elections
            replaced += history.replaced
            if (history.isSecondLost) second++
        }
        println(
            "seeds $seeds: $accepted accepted, $elections elections, $replaced replaced, $second second members lost, ${failures.size} failed",
        )
        assertTrue(failures.isEmpty(), "${failures.size} failed:\n" + failures.take(20).joinToString("\n"))
    }

    private companion object {
        const val DEFAULT_SEEDS = 1000L
    }
}
