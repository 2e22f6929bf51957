package io.bluebellramp.control

import io.bluebellramp.core.Clock
import io.bluebellramp.core.MemberId
import java.time.Instant
import kotlin.time.toJavaDuration

/** Requirement on another member's state for a copy of its claims to be usable. */
enum class CopyRequirement {
    /** The member still knows all of its own grants. */
    INTACT,

    /** Intact, and the member was complete when the current membership took effect. Required by a member that never voted before. */
    SETTLED,

    /** The member is complete. Required by a member that restarted. */
    WHOLE,
}

/**
 * Tracks whether a member knows every claim grant that may count: it can lack its own grants from before its start, and those of
 * members that left.
 *
 * It is complete once, in each membership since it was last complete, fewer than a majority of the voters have unknown grants: then
 * every majority includes a voter whose grants are known. It is also complete once every id up to [unknownUntil] has expired.
 *
 * @param isFounder true if the member founds a new cluster, in which no claim has been granted yet
 */
internal class ClaimCompleteness(
    private val self: MemberId,
    private val clock: Clock,
    private val isFounder: Boolean = false,
) {
    private val startedAt = clock.monotonic()
    private var membershipsToCover = emptyList<Set<MemberId>>()
    private var coveredMembers = emptySet<MemberId>()
    private var state = State.RESTARTED
    private var latestUnknownUntil = Instant.MIN

    /** The requirement on copies for this member. */
    val copyRequirement: CopyRequirement
        get() =
            when (state) {
                State.RESTARTED -> CopyRequirement.WHOLE
                State.NEW -> CopyRequirement.SETTLED
                else -> CopyRequirement.INTACT
            }

    /** Members whose claims must still be copied; none until the claim rounds are over that may have counted forgotten grants. */
    fun uncopiedMembers(): Set<MemberId> =
        if (isComplete() ||
            clock.monotonic() < startedAt + ClaimTable.CLAIM_ROUND_TIMEOUT
        ) {
            emptySet()
        } else {
            membershipsToCover.lastOrNull().orEmpty() - coveredMembers - self
        }

    /** Applies a membership with [voters]. Grants under the previous membership remain possible for ids created up to [unknownUntil]. */
    fun setMembership(
        voters: Set<MemberId>,
        unknownUntil: Instant,
    ) {
        if (self !in voters) return startAsNonVoter(voters)
        when {
            state == State.NEW -> membershipsToCover = listOf(voters)
            membershipsToCover.isEmpty() -> startAsVoter(voters)
            isComplete() -> becomeIncomplete(voters)
            else -> addMembership(voters)
        }
        if (membershipsToCover.size > 1 || state == State.NEW) latestUnknownUntil = maxOf(latestUnknownUntil, unknownUntil)
        completeIfCovered()
    }

    /** Records that the claims of [member] were copied. */
    fun markCopied(member: MemberId) {
        coveredMembers = coveredMembers + member
        completeIfCovered()
    }

    /** Returns whether this member knows every grant that may count. */
    fun isComplete(): Boolean {
        if (state != State.COMPLETE && membershipsToCover.isNotEmpty() &&
            clock.wall() > unknownUntil() + ClaimTable.SUBMISSION_LIFETIME.toJavaDuration()
        ) {
            markComplete()
        }
        return state == State.COMPLETE
    }

    /** Returns whether a copy of this member's claims satisfies [copyRequirement]. */
    fun satisfies(copyRequirement: CopyRequirement): Boolean =
        when (copyRequirement) {
            CopyRequirement.WHOLE -> isComplete()
            CopyRequirement.SETTLED -> isComplete() || state == State.INCOMPLETE
            CopyRequirement.INTACT -> isComplete() || state == State.INCOMPLETE || state == State.INCOMPLETE_SINCE_EARLIER
        }

    /** Ids created after this time can be decided even while this member is incomplete. It follows corrections of the wall clock. */
    fun unknownUntil(): Instant {
        val startedAtWallTime = clock.wall() - (clock.monotonic() - startedAt).toJavaDuration()
        latestUnknownUntil = maxOf(latestUnknownUntil, startedAtWallTime + ClaimTable.MAX_CLOCK_SKEW.toJavaDuration())
        return latestUnknownUntil
    }

    /** A member that is no voter in the first membership it sees has never voted, because member ids are never reused. */
    private fun startAsNonVoter(voters: Set<MemberId>) {
        if (membershipsToCover.isEmpty()) state = State.NEW
        membershipsToCover = listOf(voters)
    }

    private fun startAsVoter(voters: Set<MemberId>) {
        membershipsToCover = listOf(voters)
        if (isFounder) markComplete()
    }

    private fun becomeIncomplete(voters: Set<MemberId>) {
        membershipsToCover = listOf(membershipsToCover.last(), voters)
        coveredMembers = setOf(self)
        state = State.INCOMPLETE
    }

    private fun addMembership(voters: Set<MemberId>) {
        membershipsToCover = membershipsToCover + listOf(voters)
        if (state == State.INCOMPLETE) state = State.INCOMPLETE_SINCE_EARLIER
    }

    private fun completeIfCovered() {
        if (membershipsToCover.all { (it - coveredMembers).size < it.majority() }) markComplete()
    }

    private fun markComplete() {
        membershipsToCover = listOf(membershipsToCover.last())
        state = State.COMPLETE
    }

    private fun Set<MemberId>.majority() = size / 2 + 1

    /**
     * [RESTARTED] members lost their grants and [NEW] ones never voted before. [INCOMPLETE] members became so with the last membership,
     * [INCOMPLETE_SINCE_EARLIER] ones with an earlier one.
     */
    private enum class State { COMPLETE, RESTARTED, NEW, INCOMPLETE, INCOMPLETE_SINCE_EARLIER }
}
