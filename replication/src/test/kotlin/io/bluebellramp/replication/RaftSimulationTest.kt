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

/**
 * One simulated run: faults of all kinds at random times, then a period without faults, after which all members must agree. The seed
 * determines the whole run.
 */
internal class FaultSimulation(
    seed: Long,
    electsAtStart: Boolean = false,
    private val messagesCarryReceiverId: Boolean = false,
) {
    private val random = Random(seed)
    private val founderCount = if (random.nextInt(4) == 0) 5 else 3
    val cluster = SimulatedCluster(random, founderCount, randomNetworkFaults(), electsAtStart, messagesCarryReceiverId)
    private var commandCount = 0
    private var replacement: MembershipRequest? = null
    private var isChangePending = false

    /** Number of further members that may be lost for good without losing the majority. */
    private var lossesLeft = (founderCount - 1) / 2
    var replacements = 0
    var hasLostSecondMember = false

    private val recoverableNodes get() = cluster.nodes.values.filter { !it.hasLostDisk && it.id !in excludedMembers }

    /** Members that were stopped and either replaced or lost for good. They are not required to recover. */
    private val excludedMembers = HashSet<MemberId>()

    private fun randomNetworkFaults() =
        when (random.nextInt(4)) {
            0 -> NetworkFaults(0.0, 1.0, 0.02)
            1 -> NetworkFaults(0.1, 0.1, 0.1)
            2 -> NetworkFaults(0.02, 0.3, 0.05)
            else -> NetworkFaults(0.0, 0.0, 0.0)
        }

    fun run() {
        proposeCommands()
        changeMembers()
        if (random.nextInt(3) > 0) cluster.runUntil(1500.milliseconds)
        while (cluster.now < FAULTS_END) {
            injectFault()
            cluster.runUntil(cluster.now + (100 + random.nextInt(500)).milliseconds)
        }
        endFaults()
        cluster.runUntil(cluster.now + RECOVERY_TIME)
        checkEnd()
    }

    private fun scheduleProposals() = cluster.scheduleAfter((1 + random.nextInt(60)).milliseconds) { proposeCommands() }

    private fun proposeCommands() {
        if (cluster.now > PROPOSALS_END) return
        cluster.nodes.values.forEach { node ->
            if (node.core?.role == Role.LEADER || random.nextInt(20) == 0) cluster.propose(node, "c${commandCount++}")
        }
        scheduleProposals()
    }

    /** Requests the pending replacement until it succeeds, and the return of a retired member, which must be refused. */
    private fun changeMembers() {
        cluster.scheduleAfter(150.milliseconds) { changeMembers() }
        val leader = cluster.nodes.values.find { it.core?.role == Role.LEADER && cluster.now >= it.pausedUntil } ?: return
        val request = replacement
        if (request != null && !isChangePending) {
            isChangePending = true
            cluster.changeMembership(leader, request) { onReplacementResult(request, it) }
        }
        val retired =
            checkNotNull(leader.core)
                .status()
                .membership.retired
                .firstOrNull() ?: return
        val again = MembershipRequest(MembershipAction.ADD, retired, address(retired.value).address)
        cluster.changeMembership(leader, again) { check(it !is ProposalResult.Applied) { "the retired member $retired was added again" } }
    }

    private fun onReplacementResult(
        request: MembershipRequest,
        result: ProposalResult,
    ) {
        isChangePending = false
        val isDone = result is ProposalResult.Applied || (result is ProposalResult.Refused && "voter already" in result.reason)
        if (!isDone || replacement != request) return
        replacement = null
        replacements++
        request.replaces?.let { cluster.start(cluster.nodes.getValue(it)) }
        if (lossesLeft == 0 && random.nextBoolean() && !hasLostSecondMember) loseSecondMember(request.member)
    }

    /** Stops another member permanently as soon as the replacement is accepted: the cluster must survive a second loss from then on. */
    private fun loseSecondMember(newcomer: MemberId) {
        val member = recoverableNodes.filter { it.id != newcomer }.random(random)
        hasLostSecondMember = true
        excludedMembers += member.id
        cluster.scheduleAfter(Duration.ZERO) { cluster.crash(member) }
    }

    private fun injectFault() {
        val node = recoverableNodes.random(random)
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
                node.pausedUntil = cluster.now + random.nextInt(1500).milliseconds
            }

            6 -> {
                replace(node)
            }

            7 -> {
                recoverableNodes.forEach { if (random.nextBoolean()) restart(it) }
            }

            8 -> {
                blockOneWay(node, recoverableNodes.random(random))
            }

            else -> {
                cluster.blockedLinks.clear()
            }
        }
    }

    private fun restart(node: SimulatedCluster.Node) {
        cluster.crash(node)
        val delay = if (random.nextBoolean()) random.nextInt(60) else random.nextInt(1500)
        cluster.scheduleAfter(delay.milliseconds) { if (node.id !in excludedMembers) cluster.start(node) }
    }

    private fun isolate(node: SimulatedCluster.Node) {
        cluster.nodes.keys.forEach {
            cluster.blockedLinks += node.id to it
            cluster.blockedLinks += it to node.id
        }
        cluster.scheduleAfter((200 + random.nextInt(2500)).milliseconds) { cluster.blockedLinks.clear() }
    }

    private fun blockOneWay(
        from: SimulatedCluster.Node,
        to: SimulatedCluster.Node,
    ) {
        cluster.blockedLinks += from.id to to.id
    }

    /**
     * Crashes [node] and starts its replacement. The node restarts under its old id: soon and with an empty disk, or with its old disk
     * once it is retired. With [messagesCarryReceiverId], a member never restarts under its old id with an empty disk.
     */
    private fun replace(node: SimulatedCluster.Node) {
        val hasAcceptedCommand = cluster.checker.acceptedCount > 0
        if (replacement != null || lossesLeft == 0 || !hasAcceptedCommand) return
        lossesLeft--
        cluster.crash(node)
        if (random.nextInt(3) > 0) {
            node.disk.wipe()
            node.hasLostDisk = true
            if (!messagesCarryReceiverId) cluster.scheduleAfter(random.nextInt(500).milliseconds) { cluster.start(node) }
        } else {
            excludedMembers += node.id
        }
        val newcomer = address(('p' + replacements).toString())
        cluster.add(newcomer, joining = true)
        replacement = MembershipRequest(MembershipAction.REPLACE, newcomer.member, newcomer.address, node.id)
    }

    private fun endFaults() {
        cluster.blockedLinks.clear()
        cluster.networkFaults = NetworkFaults(0.0, 0.0, 0.0)
        cluster.nodes.values.forEach { it.pausedUntil = Duration.ZERO }
        recoverableNodes.forEach { cluster.start(it) }
    }

    private fun checkEnd() {
        check(replacement == null) { "the replacement $replacement did not complete" }
        check(cluster.nodes.values.count { it.holdsLeaderLease } == 1) { "not exactly one leader at the end: ${cluster.describe()}" }
        val members = cluster.nodes.values.filter { it.core?.status()?.role in listOf(Role.LEADER, Role.FOLLOWER) && !it.hasLostDisk }
        members.filter { it.id !in retired() && it.id !in excludedMembers }.forEach { cluster.checker.onEnd(it.machine.commands.size) }
        check(cluster.checker.acceptedCount > 0) { "no command was accepted" }
    }

    private fun retired() =
        cluster.nodes.values
            .first { it.holdsLeaderLease }
            .core!!
            .status()
            .membership.retired

    private companion object {
        val FAULTS_END = 9.seconds
        val RECOVERY_TIME = 8.seconds
        val PROPOSALS_END = FAULTS_END + 5.seconds
    }
}

class RaftSimulationTest {
    private val seeds: LongRange =
        System
            .getProperty("bluebellramp.seed")
            .orEmpty()
            .toLongOrNull()
            ?.let { it..it }
            ?: (1L..(System.getProperty("bluebellramp.seeds").orEmpty().toLongOrNull() ?: DEFAULT_SEEDS))

    @Test
    fun `stays linearizable under crashes, partitions, pauses and lost disks`() = runSeeds(electsAtStart = false)

    @Test
    fun `stays linearizable, without the lease guarantee, if members elect immediately after they start`() = runSeeds(electsAtStart = true)

    @Test
    fun `stays linearizable, without the lease guarantee, if messages name their receiver and joining members need not wait`() =
        runSeeds(electsAtStart = true, messagesCarryReceiverId = true)

    private fun runSeeds(
        electsAtStart: Boolean,
        messagesCarryReceiverId: Boolean = false,
    ) {
        var accepted = 0L
        var elections = 0L
        var replacements = 0
        var secondLosses = 0
        val failures = ArrayList<String>()
        for (seed in seeds) {
            val simulation = FaultSimulation(seed, electsAtStart, messagesCarryReceiverId)
            runCatching { simulation.run() }.onFailure { failures += "seed $seed: $it" }
            accepted += simulation.cluster.checker.acceptedCount
            elections += simulation.cluster.checker.electionCount
            replacements += simulation.replacements
            if (simulation.hasLostSecondMember) secondLosses++
        }
        println(
            "seeds $seeds: $accepted accepted, $elections elections, $replacements replaced, $secondLosses second members lost, ${failures.size} failed",
        )
        assertTrue(failures.isEmpty(), "${failures.size} failed:\n" + failures.take(20).joinToString("\n"))
    }

    private companion object {
        const val DEFAULT_SEEDS = 1000L
    }
}
