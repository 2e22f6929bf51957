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
import io.bluebellramp.messages.ClaimTable as ClaimCopy

/** Actions in virtual time, in the order of their times. */
internal class Timeline(
    val clock: ManualClock,
) {
    private class Timed(
        val at: Duration,
        val number: Int,
        val action: () -> Unit,
    )

    private val queue = PriorityQueue(compareBy<Timed>({ it.at }, { it.number }))
    private var number = 0

    fun after(
        delay: Duration,
        action: () -> Unit,
    ) {
        queue += Timed(clock.elapsed + delay, number++, action)
    }

    fun run(until: Duration) {
        while (true) {
            val next = queue.poll()?.takeIf { it.at <= until } ?: return
            clock.elapsed = maxOf(clock.elapsed, next.at)
            next.action()
        }
    }
}

internal class VoterSet(
    val version: Long,
    val voters: Set<MemberId>,
)

/** Entries that claim and members that hold claims, with messages that are delayed, dropped and repeated, by seed. */
internal class ClaimWorld(
    private val random: Random,
) {
    val clock = ManualClock()
    val time = Timeline(clock)
    private val isFounder = random.nextBoolean()
    val members = members("m1", "m2", "m3").associateWith { ClaimTable(it, clock, LIFE, isFounder) as ClaimTable? }.toMutableMap()
    private var current = VoterSet(1, members.keys.toSet())
    private val dropOneOf = listOf(3, 12).random(random)
    private val names = generateSequence(4) { it + 1 }.map { MemberId("m$it") }.iterator()

    init {
        members.keys.forEach { learn(it, current) }
        if (random.nextInt(5) > 0) clock.elapsed += 12.minutes
    }

    fun delay(): Duration = if (random.nextInt(12) == 0) random.nextInt(2500).milliseconds else random.nextInt(1, 60).milliseconds

    fun isDropped() = random.nextInt(dropOneOf) == 0

    fun membership() = current

    private fun learn(
        member: MemberId,
        set: VoterSet,
    ) {
        members[member]?.join(set.version, set.voters)
    }

    /** The member forgets all. It joins the last membership that it may know of. */
    fun restart(member: MemberId) {
        if (members[member] == null) return
        members[member] = ClaimTable(member, clock, LIFE)
        val known = current
        time.after(delay()) { learn(member, known) }
        time.after(delay() * 2) { learn(member, current) }
    }

    /** A member and its disk are lost for good; a new one is swapped in. Sometimes the lost one runs on, cut off by the others. */
    fun replace(member: MemberId) {
        if (member !in current.voters) return
        val fresh = names.next()
        members[fresh] = ClaimTable(fresh, clock, LIFE)
        learn(fresh, current)
        if (random.nextBoolean()) members[member] = null
        commit(current.voters - member + fresh)
    }

    fun add() =
        names.next().let { fresh ->
            members[fresh] = ClaimTable(fresh, clock, LIFE)
            learn(fresh, current)
            commit(current.voters + fresh)
        }

    fun remove(member: MemberId) {
        if (member in current.voters && current.voters.size > 3) commit(current.voters - member)
    }

    private fun commit(voters: Set<MemberId>) {
        val set = VoterSet(current.version + 1, voters)
        current = set
        voters.forEach { member -> time.after(delay()) { learn(member, set) } }
    }

    /** Each member copies what it lacks, some time after it asked for it. */
    fun copyAll() {
        members.forEach { (member, table) ->
            table?.missing()?.forEach { source ->
                val from = members[source]?.takeIf { it.copy(table.need, from = 0).complete }
                val copies = from?.pages(table.need)
                if (copies != null && !isDropped()) time.after(delay()) { members[member]?.takeIf { it === table }?.merge(source, copies) }
            }
        }
        time.after(100.milliseconds) { copyAll() }
    }
}

/** An entry that keeps the rules for entries: it counts one round under one live lease. */
internal class ClaimingEntry(
    name: String,
    private val world: ClaimWorld,
    private val random: Random,
) {
    val holder = ClaimHolder(EntryId(name), IncarnationId("$name-1"), Address("127.0.0.1:7000"))
    private var lease = world.membership()
    private var leaseEnd = world.clock.elapsed + LIFE
    private var sequence = 0L
    var frozenUntil = Duration.ZERO
    val owned = mutableSetOf<SubmissionId>()

    private val now get() = world.clock.elapsed

    /** Time since which the entry has had no lease, as the leader sees it. */
    fun absent(): Duration = now - (leaseEnd - LIFE)

    fun renew() {
        val set = world.membership()
        val sent = now
        if (random.nextInt(8) > 0 && now >= frozenUntil) {
            world.time.after(world.delay()) {
                if (now >= frozenUntil && set.version >= lease.version) {
                    lease = set
                    leaseEnd = maxOf(leaseEnd, sent + LIFE)
                }
            }
        }
        world.time.after(300.milliseconds) { renew() }
    }

    /** Claims [id] and calls [won] if it became the owner; otherwise gives up, which may arrive late. */
    fun claim(
        id: SubmissionId,
        takeover: IncarnationId? = null,
        won: (sent: Duration) -> Unit,
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
                    world.members[member]
                        ?.claim(request)
                        ?.verdicts
                        ?.singleOrNull()
                        ?.granted ?: false
                answer {
                    if (isGranted) grants++
                    val counts = now - sent < ClaimTable.CLAIM_ROUND && now < leaseEnd && lease.version == set.version
                    if (isGranted && counts && grants == set.voters.size / 2 + 1) won(sent)
                }
            }
        }
        world.time.after(ClaimTable.CLAIM_ROUND) { if (id !in owned && random.nextBoolean()) release(id, round, set) }
    }

    private fun release(
        id: SubmissionId,
        round: Long,
        set: VoterSet,
    ) = set.voters.forEach { member ->
        deliver { _ -> world.members[member]?.release(ClaimRelease(holder.incarnation, listOf(id), round)) }
    }

    /** A request that is delayed, dropped or arrives twice; a frozen entry reads the answer when it wakes. */
    private fun deliver(handle: (answer: (() -> Unit) -> Unit) -> Unit) {
        if (world.isDropped()) return
        var isAnswered = false
        repeat(if (random.nextInt(10) == 0) 2 else 1) {
            world.time.after(world.delay()) {
                handle { read ->
                    world.time.after(maxOf(world.delay(), frozenUntil - now)) {
                        if (!isAnswered) read()
                        isAnswered = true
                    }
                }
            }
        }
    }
}

internal fun SubmissionId.Companion.near(
    clock: ManualClock,
    random: Random,
) = create(clock.wall() + random.nextInt(-8000, 4000).milliseconds.toJavaDuration(), random.nextLong(), random.nextLong())

internal val RUN = 40.seconds

/** All pages of the claims of a member, as another one would copy them. */
internal fun ClaimTable.pages(need: CopyNeed): List<ClaimCopy> =
    generateSequence(copy(need, firstGroup())) { page -> page.next?.let { copy(need, it) } }.toList()
