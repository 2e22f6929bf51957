package io.bluebellramp.control

import io.bluebellramp.core.Address
import io.bluebellramp.core.EntryId
import io.bluebellramp.core.IncarnationId
import io.bluebellramp.core.MemberId
import io.bluebellramp.core.SubmissionId
import io.bluebellramp.messages.Claim
import io.bluebellramp.messages.ClaimHolder
import io.bluebellramp.messages.ClaimRelease
import io.bluebellramp.messages.ClaimRequest
import java.util.PriorityQueue
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds
import kotlin.time.toJavaDuration
import io.bluebellramp.messages.ClaimTable as ClaimTablePage

/** Runs actions in virtual time, ordered by their due time. */
internal class VirtualTimeScheduler(
    val clock: ManualClock,
) {
    private class Timed(
        val time: Duration,
        val number: Int,
        val action: () -> Unit,
    )

    private val queue = PriorityQueue(compareBy<Timed>({ it.time }, { it.number }))
    private var number = 0

    fun after(
        delay: Duration,
        action: () -> Unit,
    ) {
        queue += Timed(clock.elapsed + delay, number++, action)
    }

    fun run(until: Duration) {
        while (true) {
            val next = queue.poll()?.takeIf { it.time <= until } ?: return
            clock.elapsed = maxOf(clock.elapsed, next.time)
            next.action()
        }
    }
}

internal class VoterSet(
    val version: Long,
    val voters: Set<MemberId>,
)

/** Simulates members that grant claims to entries; messages are delayed, dropped and duplicated at random. */
internal class ClaimSimulation(
    private val random: Random,
) {
    val clock = ManualClock()
    val timer = VirtualTimeScheduler(clock)
    private val isFounder = random.nextBoolean()
    val members = members("m1", "m2", "m3").associateWith { ClaimTable(it, clock, LEASE_DURATION, isFounder) as ClaimTable? }.toMutableMap()
    private var current = VoterSet(1, members.keys.toSet())
    private val dropInterval = listOf(3, 12).random(random)
    private val newMemberIds = generateSequence(4) { it + 1 }.map { MemberId("m$it") }.iterator()

    init {
        members.keys.forEach { learnMembership(it, current) }
        if (random.nextInt(5) > 0) clock.elapsed += 12.minutes
    }

    fun delay(): Duration = if (random.nextInt(12) == 0) random.nextInt(2500).milliseconds else random.nextInt(1, 60).milliseconds

    fun isDropped() = random.nextInt(dropInterval) == 0

    fun membership() = current

    private fun learnMembership(
        member: MemberId,
        set: VoterSet,
    ) {
        members[member]?.setMembership(set.version, set.voters)
    }

    /** Restarts a member, which loses all claims. It first learns the membership at that time, and later the current one. */
    fun restart(member: MemberId) {
        if (members[member] == null) return
        members[member] = ClaimTable(member, clock, LEASE_DURATION)
        val known = current
        timer.after(delay()) { learnMembership(member, known) }
        timer.after(delay() * 2) { learnMembership(member, current) }
    }

    /** Replaces a member by a new one. The replaced member is gone, or sometimes keeps running with its old membership. */
    fun replace(member: MemberId) {
        if (member !in current.voters) return
        val newMember = newMemberIds.next()
        members[newMember] = ClaimTable(newMember, clock, LEASE_DURATION)
        learnMembership(newMember, current)
        if (random.nextBoolean()) members[member] = null
        commit(current.voters - member + newMember)
    }

    fun add() =
        newMemberIds.next().let { newMember ->
            members[newMember] = ClaimTable(newMember, clock, LEASE_DURATION)
            learnMembership(newMember, current)
            commit(current.voters + newMember)
        }

    fun remove(member: MemberId) {
        if (member in current.voters && current.voters.size > 3) commit(current.voters - member)
    }

    private fun commit(voters: Set<MemberId>) {
        val set = VoterSet(current.version + 1, voters)
        current = set
        voters.forEach { member -> timer.after(delay()) { learnMembership(member, set) } }
    }

    /** Makes each member copy missing claims periodically; each copy arrives with a delay. */
    fun copyAll() {
        members.forEach { (member, table) ->
            table?.uncopiedMembers()?.forEach { source ->
                val from = members[source]?.takeIf { it.page(table.copyRequirement, fromBucket = 0).complete }
                val pages = from?.pages(table.copyRequirement)
                if (pages != null && !isDropped()) timer.after(delay()) { members[member]?.takeIf { it === table }?.merge(source, pages) }
            }
        }
        timer.after(100.milliseconds) { copyAll() }
    }
}

/** An entry that follows the protocol: it counts the grants of one claim round under one valid lease. */
internal class ClaimingEntry(
    name: String,
    private val simulation: ClaimSimulation,
    private val random: Random,
) {
    val holder = ClaimHolder(EntryId(name), IncarnationId("$name-1"), Address("127.0.0.1:7000"))
    private var lease = simulation.membership()
    private var leaseEnd = simulation.clock.elapsed + LEASE_DURATION
    private var sequence = 0L
    var frozenUntil = Duration.ZERO
    val owned = mutableSetOf<SubmissionId>()

    private val now get() = simulation.clock.elapsed

    /** Time since the entry sent the request for its last lease. */
    fun timeSinceLastRenewal(): Duration = now - (leaseEnd - LEASE_DURATION)

    fun renew() {
        val set = simulation.membership()
        val sent = now
        if (random.nextInt(8) > 0 && now >= frozenUntil) {
            simulation.timer.after(simulation.delay()) {
                if (now >= frozenUntil && set.version >= lease.version) {
                    lease = set
                    leaseEnd = maxOf(leaseEnd, sent + LEASE_DURATION)
                }
            }
        }
        simulation.timer.after(300.milliseconds) { renew() }
    }

    /** Claims [id] and calls [onGranted] if a majority granted the claim; otherwise may release it, which may arrive late. */
    fun claim(
        id: SubmissionId,
        takeover: IncarnationId? = null,
        onGranted: (sent: Duration) -> Unit,
    ) {
        if (now < frozenUntil || now >= leaseEnd) return
        val set = lease
        val sent = now
        val round = ++sequence
        var grants = 0
        val request = ClaimRequest(set.version, holder, listOf(Claim(id, digest('a'), takeover)), round)
        set.voters.forEach { member ->
            deliver { answer ->
                val isGranted =
                    simulation.members[member]
                        ?.claim(request)
                        ?.verdicts
                        ?.singleOrNull()
                        ?.granted ?: false
                answer {
                    if (isGranted) grants++
                    val counts = now - sent < ClaimTable.CLAIM_ROUND_TIMEOUT && now < leaseEnd && lease.version == set.version
                    if (isGranted && counts && grants == set.voters.size / 2 + 1) onGranted(sent)
                }
            }
        }
        simulation.timer.after(ClaimTable.CLAIM_ROUND_TIMEOUT) { if (id !in owned && random.nextBoolean()) release(id, round, set) }
    }

    private fun release(
        id: SubmissionId,
        round: Long,
        set: VoterSet,
    ) = set.voters.forEach { member ->
        deliver { _ -> simulation.members[member]?.release(ClaimRelease(holder.incarnation, listOf(id), round)) }
    }

    /** Delivers a request, which may be delayed, dropped or duplicated. A frozen entry reads the response when it resumes. */
    private fun deliver(handle: (answer: (() -> Unit) -> Unit) -> Unit) {
        if (simulation.isDropped()) return
        var isAnswered = false
        repeat(if (random.nextInt(10) == 0) 2 else 1) {
            simulation.timer.after(simulation.delay()) {
                handle { read ->
                    simulation.timer.after(maxOf(simulation.delay(), frozenUntil - now)) {
                        if (!isAnswered) read()
                        isAnswered = true
                    }
                }
            }
        }
    }
}

internal fun SubmissionId.Companion.createNear(
    clock: ManualClock,
    random: Random,
) = create(clock.wall() + random.nextInt(-8000, 4000).milliseconds.toJavaDuration(), random.nextLong(), random.nextLong())

internal val SIMULATED_TIME = 40.seconds

/** Returns all pages of the claims of a member, as another member copies them. */
internal fun ClaimTable.pages(copyRequirement: CopyRequirement): List<ClaimTablePage> =
    generateSequence(page(copyRequirement, firstBucket())) { previous -> previous.next?.let { page(copyRequirement, it) } }.toList()
