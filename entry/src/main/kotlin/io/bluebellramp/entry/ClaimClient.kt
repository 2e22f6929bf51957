package io.bluebellramp.entry

import io.bluebellramp.core.Address
import io.bluebellramp.core.Clock
import io.bluebellramp.core.SubmissionId
import io.bluebellramp.messages.Claim
import io.bluebellramp.messages.ClaimMembers
import io.bluebellramp.messages.ClaimRelease
import io.bluebellramp.messages.ClaimRequest
import io.bluebellramp.messages.ClaimResponse
import io.bluebellramp.messages.ClaimVerdict
import io.ktor.client.HttpClient
import io.ktor.client.call.body
import io.ktor.client.request.post
import io.ktor.client.request.setBody
import io.ktor.client.statement.HttpResponse
import io.ktor.http.ContentType
import io.ktor.http.HttpStatusCode
import io.ktor.http.contentType
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.sync.Semaphore
import kotlinx.coroutines.withTimeoutOrNull
import java.util.concurrent.atomic.AtomicLong
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Requests claims from the voting members in batches: all pending claims go into one call to each member. */
internal class ClaimClient(
    private val http: HttpClient,
    private val identity: EntryIdentity,
    private val clock: Clock,
    private val runner: EntryCoreRunner,
) {
    private class PendingClaim(
        val claim: Claim,
        val triesLeft: Int = MAX_TRIES,
    )

    private val pendingClaims = Channel<PendingClaim>(Channel.UNLIMITED)

    private class PendingRelease(
        val submission: SubmissionId,
        val lastRound: Long,
    )

    private val pendingReleases = Channel<PendingRelease>(Channel.UNLIMITED)
    private val rounds = AtomicLong()
    private val batchSlots = Semaphore(MAX_BATCHES_IN_FLIGHT)

    /** Adds a claim to the next batch. The result is passed to [EntryCore.onClaimResult]. */
    fun enqueueClaim(claim: Action.Claim) {
        pendingClaims.trySend(PendingClaim(Claim(submission = claim.submission, digest = claim.digest, takeover = claim.takeover)))
    }

    /** Adds a release to the next batch. It applies to claims of the rounds started so far, not of later ones. */
    fun enqueueRelease(submission: SubmissionId) {
        pendingReleases.trySend(PendingRelease(submission, rounds.get()))
    }

    /** Sends batches until cancelled. */
    suspend fun run() =
        coroutineScope {
            launch {
                for (first in pendingReleases) {
                    val batch = pendingReleases.batch(first)
                    launch { releaseAll(batch) }
                }
            }
            for (first in pendingClaims) {
                batchSlots.acquire()
                val batch = pendingClaims.batch(first)
                launch { claimAll(batch) }
            }
        }

    private suspend fun claimAll(batch: List<PendingClaim>) {
        val members = runner.withCore { now -> lease.members?.takeIf { lease.isLive(now) } }
        val tallies = batch.map { ClaimTally(members?.members?.size ?: 0, identity.incarnation) }
        val round = ClaimRound(batch, tallies)
        if (members == null || members.members.isEmpty()) {
            batchSlots.release()
            round.deliverUnavailable()
            return
        }
        val sent = clock.monotonic()
        val roundNumber = rounds.incrementAndGet()
        coroutineScope {
            members.members.forEach { member ->
                launch {
                    val verdicts = requestVerdicts(member.address, members, batch, roundNumber)
                    runner.withCore { now -> round.add(verdicts.takeIf { now - sent < ROUND_TIMEOUT }) }
                    round.deliverResults()
                }
            }
        }
        round.releaseSlot()
    }

    /** One batch of claims and its verdicts. Its slot is released as soon as every claim has a result. */
    private inner class ClaimRound(
        private val batch: List<PendingClaim>,
        private val tallies: List<ClaimTally>,
    ) {
        private val results = arrayOfNulls<ClaimResult>(batch.size)
        private val delivered = BooleanArray(batch.size)
        private var hasSlot = true

        fun add(verdicts: List<ClaimVerdict>?) {
            tallies.forEachIndexed { i, tally ->
                tally.add(verdicts?.getOrNull(i))
                if (results[i] == null) results[i] = tally.result()
            }
        }

        suspend fun deliverResults() {
            runner.withCore { now ->
                results.forEachIndexed { i, result ->
                    if (result != null && !delivered[i]) {
                        delivered[i] = true
                        if (!retry(batch[i], result)) onClaimResult(batch[i].claim.submission, result, now)
                    }
                }
            }
            if (delivered.all { it }) releaseSlot()
        }

        suspend fun deliverUnavailable() {
            runner.withCore { now ->
                batch.forEach { if (!retry(it, ClaimResult.Unavailable)) onClaimResult(it.claim.submission, ClaimResult.Unavailable, now) }
            }
        }

        fun releaseSlot() {
            synchronized(this) {
                if (hasSlot) batchSlots.release()
                hasSlot = false
            }
        }
    }

    private fun retry(
        claim: PendingClaim,
        result: ClaimResult,
    ): Boolean {
        if (claim.triesLeft <= 1 || !result.isRetryable) return false
        failedClaims.trySend(PendingClaim(claim.claim, claim.triesLeft - 1))
        return true
    }

    private val failedClaims = Channel<PendingClaim>(Channel.UNLIMITED)

    /** Adds claims without a majority to the pending claims again after a delay, until cancelled. */
    suspend fun runRetries() {
        for (first in failedClaims) {
            delay(RETRY_DELAY)
            failedClaims.batch(first).forEach { pendingClaims.trySend(it) }
        }
    }

    private suspend fun requestVerdicts(
        member: Address,
        members: ClaimMembers,
        batch: List<PendingClaim>,
        round: Long,
    ): List<ClaimVerdict>? {
        val request =
            ClaimRequest(
                membership = members.version,
                holder = identity.holder,
                sequence = round,
                claims = batch.map { it.claim },
            )
        val response = call(member, "claims", request) ?: return null
        if (response.status != HttpStatusCode.OK) return null
        val body =
            try {
                response.body<ClaimResponse>()
            } catch (e: CancellationException) {
                throw e
            } catch (_: Exception) {
                return null
            }
        return body.verdicts.takeIf { body.membership == members.version && it.size == batch.size }
    }

    private suspend fun releaseAll(batch: List<PendingRelease>) {
        val members = runner.withCore { lease.members } ?: return
        val releases =
            batch.groupBy({ it.lastRound }, { it.submission }).map { (round, submissions) ->
                ClaimRelease(incarnation = identity.incarnation, submissions = submissions, sequence = round)
            }
        coroutineScope {
            members.members.forEach { launch { releases.forEach { release -> call(it.address, "claims/release", release) } } }
        }
    }

    private suspend inline fun <reified T : Any> call(
        member: Address,
        path: String,
        body: T,
    ): HttpResponse? =
        try {
            withTimeoutOrNull(CALL_TIMEOUT) {
                http.post("http://$member/$path") {
                    contentType(ContentType.Application.Json)
                    setBody(body)
                }
            }
        } catch (e: CancellationException) {
            throw e
        } catch (_: Exception) {
            null
        }

    private fun <T> Channel<T>.batch(first: T): List<T> {
        val batch = arrayListOf(first)
        while (batch.size < MAX_BATCH_SIZE) batch += tryReceive().getOrNull() ?: break
        return batch
    }

    private companion object {
        /** Verdicts that arrive later do not count, because the members rely on a majority being reached within this time. */
        val ROUND_TIMEOUT = 1.seconds
        const val MAX_BATCH_SIZE = 1_000
        const val MAX_BATCHES_IN_FLIGHT = 4
        const val MAX_TRIES = 12
        val RETRY_DELAY = 30.milliseconds
        val CALL_TIMEOUT = 400.milliseconds
    }
}
