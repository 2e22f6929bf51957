package io.bluebellramp.control

import io.bluebellramp.core.Clock
import io.bluebellramp.core.MemberId
import java.time.Instant
import kotlin.time.toJavaDuration

/** What a copy of another member's claims must be for it to count. */
enum class CopyNeed {
    /** The member has not forgotten its own grants. */
    INTACT,

    /** Intact, and it had closed its gap when the present membership came. For a member that never voted before. */
    SETTLED,

    /** Its gap is closed. For a member that restarted. */
    WHOLE,
}

/**
 * What a member may not know of the grants that count: its own of before its start, and those of members that left.
 *
 * The gap is closed once, in each membership since it was last closed, the members whose grants are not known are fewer than
 * a majority, because then every majority shows in what is known. It is also closed once every id up to [floor] has expired.
 *
 * @param isFounder true if the member founds a new cluster, in which nobody has granted anything
 */
internal class ClaimGap(
    private val self: MemberId,
    private val clock: Clock,
    private val isFounder: Boolean = false,
) {
    private val started = clock.monotonic()
    private var memberships = emptyList<Set<MemberId>>()
    private var known = emptySet<MemberId>()
    private var state = State.RESTARTED
    private var openedFloor = Instant.MIN

    /** What a copy must be for this member. */
    val need: CopyNeed
        get() =
            when (state) {
                State.RESTARTED -> CopyNeed.WHOLE
                State.NEW -> CopyNeed.SETTLED
                else -> CopyNeed.INTACT
            }

    /** Members whose copies would help. Copies count only once the rounds that counted forgotten grants are over. */
    fun missing(): Set<MemberId> =
        if (isClosed() ||
            clock.monotonic() < started + ClaimTable.CLAIM_ROUND
        ) {
            emptySet()
        } else {
            memberships.lastOrNull().orEmpty() - known - self
        }

    /** Notes [voters]; grants that were counted among the old ones stay possible for ids made up to [floor]. */
    fun open(
        voters: Set<MemberId>,
        floor: Instant,
    ) {
        if (self !in voters) return learnFrom(voters)
        when {
            state == State.NEW -> memberships = listOf(voters)
            memberships.isEmpty() -> start(voters)
            isClosed() -> reopen(voters)
            else -> carry(voters)
        }
        if (memberships.size > 1 || state == State.NEW) openedFloor = maxOf(openedFloor, floor)
        closeIfCovered()
    }

    /** Notes that the claims of [member] were copied. */
    fun copied(member: MemberId) {
        known = known + member
        closeIfCovered()
    }

    /** Tells whether nothing is missing. */
    fun isClosed(): Boolean {
        if (state != State.CLOSED && memberships.isNotEmpty() &&
            clock.wall() > floor() + ClaimTable.SUBMISSION_LIFE.toJavaDuration()
        ) {
            close()
        }
        return state == State.CLOSED
    }

    /** Tells whether a copy of this member's claims is good enough for [need]. */
    fun satisfies(need: CopyNeed): Boolean =
        when (need) {
            CopyNeed.WHOLE -> isClosed()
            CopyNeed.SETTLED -> isClosed() || state == State.REOPENED
            CopyNeed.INTACT -> isClosed() || state == State.REOPENED || state == State.CARRIED
        }

    /** Ids made after this time are judged although the gap is open. It follows corrections of the time of day. */
    fun floor(): Instant {
        val startedWall = clock.wall() - (clock.monotonic() - started).toJavaDuration()
        openedFloor = maxOf(openedFloor, startedWall + ClaimTable.FUTURE_SLACK.toJavaDuration())
        return openedFloor
    }

    /** A member that does not vote when it first learns of a membership has never voted, since an id never comes back. */
    private fun learnFrom(voters: Set<MemberId>) {
        if (memberships.isEmpty()) state = State.NEW
        memberships = listOf(voters)
    }

    private fun start(voters: Set<MemberId>) {
        memberships = listOf(voters)
        if (isFounder) close()
    }

    private fun reopen(voters: Set<MemberId>) {
        memberships = listOf(memberships.last(), voters)
        known = setOf(self)
        state = State.REOPENED
    }

    private fun carry(voters: Set<MemberId>) {
        memberships = memberships + listOf(voters)
        if (state == State.REOPENED) state = State.CARRIED
    }

    private fun closeIfCovered() {
        if (memberships.all { (it - known).size < it.majority() }) close()
    }

    private fun close() {
        memberships = listOf(memberships.last())
        state = State.CLOSED
    }

    private fun Set<MemberId>.majority() = size / 2 + 1

    /** Closed; forgot its grants; never voted before; open since one membership; open since an earlier one. */
    private enum class State { CLOSED, RESTARTED, NEW, REOPENED, CARRIED }
}
