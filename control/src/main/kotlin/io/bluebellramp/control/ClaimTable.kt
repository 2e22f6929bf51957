package io.bluebellramp.control

import io.bluebellramp.core.Clock
import io.bluebellramp.core.MemberId
import io.bluebellramp.core.SubmissionId
import io.bluebellramp.messages.Claim
import io.bluebellramp.messages.ClaimHolder
import io.bluebellramp.messages.ClaimRelease
import io.bluebellramp.messages.ClaimRequest
import io.bluebellramp.messages.ClaimResponse
import io.bluebellramp.messages.ClaimVerdict
import io.bluebellramp.messages.HeldClaim
import java.time.Instant
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.toJavaDuration
import io.bluebellramp.messages.ClaimTable as ClaimCopy

/**
 * The claims that one member holds in memory. No I/O, one thread at a time.
 *
 * An entry owns a submission once a majority of the voting members granted its claim within [CLAIM_ROUND]. The table keeps
 * any two majorities from having different owners, although a restarted member has forgotten what it granted and members are
 * swapped: see `docs/design/claims.md`.
 *
 * @param self this member
 * @param life longest life of a lease, in which an entry may still count in an older membership
 * @param isFounder true if the data folder was empty and the member is not joining. The log lets such a member learn of a
 *   committed membership only if the cluster is new, so nobody has granted anything
 * @param mostClaims a member that holds this many grants no further submission, so that its memory is bounded
 */
class ClaimTable(
    private val self: MemberId,
    private val clock: Clock,
    private val life: Duration,
    isFounder: Boolean = false,
    private val mostClaims: Int = MOST_CLAIMS,
) {
    private val store = ClaimStore()
    private val holders = HashMap<ClaimHolder, ClaimHolder>()
    private val gap = ClaimGap(self, clock, isFounder)
    private var voters = emptySet<MemberId>()
    private var version = NO_VERSION
    private var forgottenBefore = Instant.MIN

    /** Number of claims held. */
    val size: Int get() = store.size

    /** What a copy of another member's claims must be for [merge] to take it. */
    val need: CopyNeed get() = gap.need

    /** Voting members whose claims must still be copied. */
    fun missing(): Set<MemberId> = gap.missing()

    /** Tells whether the table knows all that it must know to judge every submission. */
    fun isWhole(): Boolean = gap.isClosed()

    /** Tells whether the bound is reached: no new submission is granted and no copy taken until claims have expired. */
    fun isFull(): Boolean {
        if (store.size >= mostClaims) forgetExpired()
        return store.size >= mostClaims
    }

    /** Notes that [voters] count claims as of [version], the log index of the membership. */
    fun join(
        version: Long,
        voters: Set<MemberId>,
    ) {
        if (version <= this.version) return
        this.version = version
        if (voters == this.voters) return
        this.voters = voters
        gap.open(voters, floor = now() + (FUTURE_SLACK + life + CLAIM_ROUND).toJavaDuration())
    }

    /** Judges the claims of [request]. The verdicts are empty if the membership versions differ. */
    fun claim(request: ClaimRequest): ClaimResponse {
        forgetExpired()
        val isCounted = request.membership == version && self in voters
        val verdicts = if (isCounted) request.claims.map { judge(it, request.holder, request.sequence) } else emptyList()
        return ClaimResponse(membership = version, verdicts = verdicts)
    }

    /** Gives up the claims of [release] that its incarnation holds here. */
    fun release(release: ClaimRelease) {
        release.submissions.forEach { release(ClaimKey.of(it), release) }
    }

    /** Returns a page of the claims from group [from] on (see [firstGroup]), complete if it is good enough for [need]. */
    fun copy(
        need: CopyNeed,
        from: Long,
    ): ClaimCopy {
        forgetExpired()
        val page = store.page(from)
        val claims = page.claims.flatMap { (key, claim) -> claim.all().map { it.held(key) } }
        return ClaimCopy(membership = version, complete = gap.satisfies(need), claims = claims, next = page.next)
    }

    /** Returns the oldest group in which a member may hold claims. */
    fun firstGroup(): Long = ClaimStore.groupOf(now() - (KEPT + CLOCK_MARGIN).toJavaDuration())

    /**
     * Takes over what [member] holds, given as all pages of its claims.
     *
     * @return false if the copies do not count, because the member is itself incomplete or in an older membership
     */
    fun merge(
        member: MemberId,
        copies: List<ClaimCopy>,
    ): Boolean {
        if (member !in missing() || !copies.all(::counts)) return false
        if (!copies.all(::mergePart)) return false
        return finishCopy(member, copies.minOfOrNull { it.membership } ?: version)
    }

    /**
     * Takes over a page of the claims that another member holds. Each is a grant that the member made, so it may be known before
     * all pages are copied; [finishCopy] says that they are.
     *
     * @return false if the copy does not count, because the member is itself incomplete or in an older membership, or this table is full
     */
    fun mergePart(copy: ClaimCopy): Boolean {
        if (!counts(copy)) return false
        return copy.claims.all(::merge)
    }

    /**
     * Notes that all pages of [member] were merged, each copied in membership [version] or later.
     *
     * @return false if they do not count, because the membership has changed meanwhile
     */
    fun finishCopy(
        member: MemberId,
        version: Long,
    ): Boolean {
        if (member !in missing() || version < this.version) return false
        gap.copied(member)
        return true
    }

    private fun counts(copy: ClaimCopy) = copy.complete && copy.membership >= version

    private fun judge(
        claim: Claim,
        holder: ClaimHolder,
        sequence: Long,
    ): ClaimVerdict {
        val digest = ClaimDigest.parse(claim.digest)
        if (digest == null || !isJudged(claim.submission)) return ClaimVerdict(granted = false)
        val key = ClaimKey.of(claim.submission)
        val held = store[key]
        val asked = StoredClaim(digest, shared(holder), sequence, isTakenOver = claim.takeover != null)
        val granted =
            when {
                held == null && isFull() -> return ClaimVerdict(granted = false)
                held == null -> asked
                held.rivals != null || held.isLost(asked) -> return ClaimVerdict(granted = false)
                held.digest != digest -> null
                held.holder.incarnation == holder.incarnation -> held.again(asked)
                held.holder.incarnation == claim.takeover -> asked
                else -> null
            } ?: return ClaimVerdict(granted = false, holder = held?.holder, digest = held?.digest?.hex())
        store[key] = granted
        return ClaimVerdict(granted = true, holder = holder, digest = claim.digest)
    }

    /** Tells whether [asked] is its holder's claim to own what it only took over. */
    private fun StoredClaim.isLost(asked: StoredClaim) = isTakenOver && !asked.isTakenOver && holder.incarnation == asked.holder.incarnation

    /** An id that is expired, from the future, or older than what this member may have forgotten gets no verdict. */
    private fun isJudged(id: SubmissionId): Boolean {
        val made = id.instant
        val now = now()
        if (made < forgottenBefore || made + SUBMISSION_LIFE.toJavaDuration() <= now) return false
        if (made > now + FUTURE_SLACK.toJavaDuration()) return false
        return isWhole() || made > gap.floor()
    }

    private fun release(
        key: ClaimKey,
        release: ClaimRelease,
    ) {
        val left = store[key]?.release(release.incarnation, release.sequence)
        if (left == null) store.remove(key) else store[key] = left
    }

    /** Adds [held], and returns false if there is no room for it. */
    private fun merge(held: HeldClaim): Boolean {
        val key = ClaimKey.of(held.submission)
        if (store[key] == null && isFull()) return false
        val claim = StoredClaim(digestOf(held.digest), shared(held.holder), held.sequence, held.takenOver)
        store[key] = store[key]?.merge(claim) ?: claim
        return true
    }

    private fun digestOf(hex: String): ClaimDigest = requireNotNull(ClaimDigest.parse(hex)) { "$hex is not a digest" }

    /** Returns one object for equal holders, which keeps a claim small. */
    private fun shared(holder: ClaimHolder): ClaimHolder {
        if (holders.size > SHARED_HOLDERS) holders.clear()
        return holders.getOrPut(holder) { holder }
    }

    private fun forgetExpired() {
        val before = now() - KEPT.toJavaDuration()
        if (before <= forgottenBefore) return
        forgottenBefore = before
        store.forgetBefore(before)
    }

    private fun now(): Instant = clock.wall()

    companion object {
        private const val NO_VERSION = -1L

        /** 1,056 submissions a second over the 11 min that a claim is kept. */
        const val MOST_CLAIMS = 700_000
        private const val SHARED_HOLDERS = 10_000

        /** Longest life of a submission, counted from the time inside its id. */
        val SUBMISSION_LIFE = SubmissionId.LIFE

        /** How far the clocks of callers, entries and members may differ. */
        val FUTURE_SLACK = SubmissionId.CLOCK_SKEW

        /** An entry counts grants only if all came within this time of its sending the request. */
        val CLAIM_ROUND = 1000.milliseconds

        private val CLOCK_MARGIN = 1.minutes
        private val KEPT = SUBMISSION_LIFE + CLOCK_MARGIN
    }
}
