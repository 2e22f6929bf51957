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
import io.bluebellramp.messages.ClaimTable as ClaimTablePage

/**
 * The claims that one member has granted, in memory. Does no I/O and is not thread-safe.
 *
 * An entry owns a submission once a majority of the voters granted its claim within [CLAIM_ROUND_TIMEOUT]. The table ensures that no
 * two majorities grant a submission to different entries, although a restarted member has lost its grants and voters are replaced: see
 * `docs/design/claims.md`.
 *
 * @param self this member
 * @param leaseDuration maximum duration of a lease, during which an entry may still count grants under an older membership
 * @param isFounder true if the data folder was empty and the member is not joining. The log lets such a member learn of a
 *   committed membership only in a new cluster, in which no claim has been granted yet
 * @param maxClaims limit of stored claims, to bound memory; at the limit, claims on new submissions are refused
 */
class ClaimTable(
    private val self: MemberId,
    private val clock: Clock,
    private val leaseDuration: Duration,
    isFounder: Boolean = false,
    private val maxClaims: Int = MAX_CLAIMS,
) {
    private val store = ClaimStore()
    private val holders = HashMap<ClaimHolder, ClaimHolder>()
    private val completeness = ClaimCompleteness(self, clock, isFounder)
    private var voters = emptySet<MemberId>()
    private var version = NO_VERSION
    private var forgottenBefore = Instant.MIN

    /** Number of stored claims. */
    val size: Int get() = store.size

    /** Requirement on another member's state for [merge] to accept a copy of its claims. */
    val copyRequirement: CopyRequirement get() = completeness.copyRequirement

    /** Voters whose claims must still be copied. */
    fun uncopiedMembers(): Set<MemberId> = completeness.uncopiedMembers()

    /** Returns whether the table can decide the claim on every submission. */
    fun isComplete(): Boolean = completeness.isComplete()

    /** Returns whether the limit is reached: until claims expire, no new submission is granted and no copied claim is added. */
    fun isFull(): Boolean {
        if (store.size >= maxClaims) forgetExpired()
        return store.size >= maxClaims
    }

    /** Sets the [voters] that grant claims. [version] is the log index of the membership. */
    fun setMembership(
        version: Long,
        voters: Set<MemberId>,
    ) {
        if (version <= this.version) return
        this.version = version
        if (voters == this.voters) return
        this.voters = voters
        completeness.setMembership(voters, unknownUntil = now() + (MAX_CLOCK_SKEW + leaseDuration + CLAIM_ROUND_TIMEOUT).toJavaDuration())
    }

    /** Grants or refuses the claims of [request]. Returns no verdicts if the membership versions differ. */
    fun claim(request: ClaimRequest): ClaimResponse {
        forgetExpired()
        val isCounted = request.membership == version && self in voters
        val verdicts = if (isCounted) request.claims.map { decide(it, request.holder, request.sequence) } else emptyList()
        return ClaimResponse(membership = version, verdicts = verdicts)
    }

    /** Releases the claims of [release] that its incarnation holds here. */
    fun release(release: ClaimRelease) {
        release.submissions.forEach { release(ClaimKey.of(it), release) }
    }

    /** Returns a page of the claims from [fromBucket] on (see [firstBucket]), marked complete if it satisfies [copyRequirement]. */
    fun page(
        copyRequirement: CopyRequirement,
        fromBucket: Long,
    ): ClaimTablePage {
        forgetExpired()
        val page = store.page(fromBucket)
        val claims = page.claims.flatMap { (key, claim) -> claim.allClaims().map { it.toHeldClaim(key) } }
        return ClaimTablePage(membership = version, complete = completeness.satisfies(copyRequirement), claims = claims, next = page.next)
    }

    /** Returns the oldest time bucket in which a member may hold claims. */
    fun firstBucket(): Long = ClaimStore.bucketOf(now() - (RETENTION + CLOCK_MARGIN).toJavaDuration())

    /**
     * Adds all claims of [member], given as all pages of its table.
     *
     * @return false if the pages are unusable because the member is itself incomplete or in an older membership
     */
    fun merge(
        member: MemberId,
        pages: List<ClaimTablePage>,
    ): Boolean {
        if (member !in uncopiedMembers() || !pages.all(::isUsable)) return false
        if (!pages.all(::mergePage)) return false
        return finishCopy(member, pages.minOfOrNull { it.membership } ?: version)
    }

    /**
     * Adds a page of the claims of another member. Each is a valid grant by itself, so it may be added before all pages are copied;
     * call [finishCopy] after the last page.
     *
     * @return false if the page is unusable because the member is itself incomplete or in an older membership, or this table is full
     */
    fun mergePage(page: ClaimTablePage): Boolean {
        if (!isUsable(page)) return false
        return page.claims.all(::merge)
    }

    /**
     * Records that all pages of [member] were merged, each copied under membership [version] or later.
     *
     * @return false if they are unusable because the membership has changed since
     */
    fun finishCopy(
        member: MemberId,
        version: Long,
    ): Boolean {
        if (member !in uncopiedMembers() || version < this.version) return false
        completeness.markCopied(member)
        return true
    }

    private fun isUsable(page: ClaimTablePage) = page.complete && page.membership >= version

    private fun decide(
        claim: Claim,
        holder: ClaimHolder,
        sequence: Long,
    ): ClaimVerdict {
        val digest = ClaimDigest.parse(claim.digest)
        if (digest == null || !canDecide(claim.submission)) return ClaimVerdict(granted = false)
        val key = ClaimKey.of(claim.submission)
        val held = store[key]
        val requested = StoredClaim(digest, interned(holder), sequence, isTakenOver = claim.takeover != null)
        val granted =
            when {
                held == null && isFull() -> return ClaimVerdict(granted = false)
                held == null -> requested
                held.conflicts != null || held.isOrdinaryClaimAfterTakeover(requested) -> return ClaimVerdict(granted = false)
                held.digest != digest -> null
                held.holder.incarnation == holder.incarnation -> held.renewedBy(requested)
                held.holder.incarnation == claim.takeover -> requested
                else -> null
            } ?: return ClaimVerdict(granted = false, holder = held?.holder, digest = held?.digest?.hex())
        store[key] = granted
        return ClaimVerdict(granted = true, holder = holder, digest = claim.digest)
    }

    /** Returns whether [requested] is an ordinary claim of the incarnation that took this claim over. It is refused. */
    private fun StoredClaim.isOrdinaryClaimAfterTakeover(requested: StoredClaim) =
        isTakenOver && !requested.isTakenOver && holder.incarnation == requested.holder.incarnation

    /** Returns false for an id that is expired, too far in the future, or so old that this member may not know a grant of it. */
    private fun canDecide(id: SubmissionId): Boolean {
        val createdAt = id.instant
        val now = now()
        if (createdAt < forgottenBefore || createdAt + SUBMISSION_LIFETIME.toJavaDuration() <= now) return false
        if (createdAt > now + MAX_CLOCK_SKEW.toJavaDuration()) return false
        return isComplete() || createdAt > completeness.unknownUntil()
    }

    private fun release(
        key: ClaimKey,
        release: ClaimRelease,
    ) {
        val remaining = store[key]?.release(release.incarnation, release.sequence)
        if (remaining == null) store.remove(key) else store[key] = remaining
    }

    /** Adds [held]; returns false if the table is full. */
    private fun merge(held: HeldClaim): Boolean {
        val key = ClaimKey.of(held.submission)
        if (store[key] == null && isFull()) return false
        val claim = StoredClaim(digestOf(held.digest), interned(held.holder), held.sequence, held.takenOver)
        store[key] = store[key]?.merge(claim) ?: claim
        return true
    }

    private fun digestOf(hex: String): ClaimDigest = requireNotNull(ClaimDigest.parse(hex)) { "$hex is not a digest" }

    /** Returns the same object for equal holders, to save memory. */
    private fun interned(holder: ClaimHolder): ClaimHolder {
        if (holders.size > MAX_INTERNED_HOLDERS) holders.clear()
        return holders.getOrPut(holder) { holder }
    }

    private fun forgetExpired() {
        val cutoff = now() - RETENTION.toJavaDuration()
        if (cutoff <= forgottenBefore) return
        forgottenBefore = cutoff
        store.forgetBefore(cutoff)
    }

    private fun now(): Instant = clock.wall()

    companion object {
        private const val NO_VERSION = -1L

        /** 1,056 submissions per second over the 11 minutes for which a claim is kept. */
        const val MAX_CLAIMS = 700_000
        private const val MAX_INTERNED_HOLDERS = 10_000

        /** Maximum lifetime of a submission, counted from the timestamp in its id. */
        val SUBMISSION_LIFETIME = SubmissionId.MAX_AGE

        /** Maximum difference between the clocks of callers, entries and members. */
        val MAX_CLOCK_SKEW = SubmissionId.CLOCK_SKEW

        /** An entry counts only grants that arrive within this time after it sent the request. */
        val CLAIM_ROUND_TIMEOUT = 1000.milliseconds

        private val CLOCK_MARGIN = 1.minutes
        private val RETENTION = SUBMISSION_LIFETIME + CLOCK_MARGIN
    }
}
