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

/** Claims submissions at the voting members in batches: all that wait go in one call to each member. */
internal class ClaimsClient(
    private val http: HttpClient,
    private val identity: EntryIdentity,
    private val clock: Clock,
    private val shell: EntryShell,
) {
    private class Wanted(
        val claim: Claim,
        val triesLeft: Int = TRIES,
    )

    private val wanted = Channel<Wanted>(Channel.UNLIMITED)

    private class Released(
        val submission: SubmissionId,
        val lastRound: Long,
    )

    private val released = Channel<Released>(Channel.UNLIMITED)
    private val rounds = AtomicLong()
    private val inFlight = Semaphore(MAX_BATCHES)

    /** Adds a claim to the next batch. The verdict goes to the core. */
    fun ask(claim: Action.Claim) {
        wanted.trySend(Wanted(Claim(submission = claim.submission, digest = claim.digest, takeover = claim.takeover)))
    }

    /** Adds a release to the next batch of releases. It ends claims of the rounds so far, and not of a later one. */
    fun release(submission: SubmissionId) {
        released.trySend(Released(submission, rounds.get()))
    }

    /** Sends batches until it is cancelled. */
    suspend fun run() =
        coroutineScope {
            launch {
                for (first in released) {
                    val batch = released.batch(first)
                    launch { releaseAll(batch) }
                }
            }
            for (first in wanted) {
                inFlight.acquire()
                val batch = wanted.batch(first)
                launch { claimAll(batch) }
            }
        }

    private suspend fun claimAll(batch: List<Wanted>) {
        val members = shell.use { now -> lease.members?.takeIf { lease.isLive(now) } }
        val tallies = batch.map { ClaimTally(members?.members?.size ?: 0, identity.incarnation) }
        val round = ClaimRound(batch, tallies)
        if (members == null || members.members.isEmpty()) {
            inFlight.release()
            round.finishAll()
            return
        }
        val sent = clock.monotonic()
        val number = rounds.incrementAndGet()
        coroutineScope {
            members.members.forEach { member ->
                launch {
                    val verdicts = ask(member.address, members, batch, number)
                    shell.use { now -> round.add(verdicts.takeIf { now - sent < ROUND }) }
                    round.deliver()
                }
            }
        }
        round.releaseSlot()
    }

    /** One batch and the verdicts on it. It gives up its place in flight as soon as every claim is decided. */
    private inner class ClaimRound(
        private val batch: List<Wanted>,
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

        suspend fun deliver() {
            shell.use { now ->
                results.forEachIndexed { i, result ->
                    if (result != null && !delivered[i]) {
                        delivered[i] = true
                        if (!again(batch[i], result)) claimed(batch[i].claim.submission, result, now)
                    }
                }
            }
            if (delivered.all { it }) releaseSlot()
        }

        suspend fun finishAll() {
            shell.use { now ->
                batch.forEach { if (!again(it, ClaimResult.Unavailable)) claimed(it.claim.submission, ClaimResult.Unavailable, now) }
            }
        }

        fun releaseSlot() {
            synchronized(this) {
                if (hasSlot) inFlight.release()
                hasSlot = false
            }
        }
    }

    private fun again(
        tried: Wanted,
        result: ClaimResult,
    ): Boolean {
        if (tried.triesLeft <= 1 || !result.isOpen) return false
        retries.trySend(Wanted(tried.claim, tried.triesLeft - 1))
        return true
    }

    private val retries = Channel<Wanted>(Channel.UNLIMITED)

    /** Sends what had no majority again after a pause, until it is cancelled. */
    suspend fun runRetries() {
        for (first in retries) {
            delay(RETRY)
            retries.batch(first).forEach { wanted.trySend(it) }
        }
    }

    private suspend fun ask(
        member: Address,
        members: ClaimMembers,
        batch: List<Wanted>,
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

    private suspend fun releaseAll(batch: List<Released>) {
        val members = shell.use { lease.members } ?: return
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
        while (batch.size < MAX_BATCH) batch += tryReceive().getOrNull() ?: break
        return batch
    }

    private companion object {
        /** Members rely on a majority that is counted within this time. */
        val ROUND = 1.seconds
        const val MAX_BATCH = 1_000
        const val MAX_BATCHES = 4
        const val TRIES = 12
        val RETRY = 30.milliseconds
        val CALL_TIMEOUT = 400.milliseconds
    }
}
