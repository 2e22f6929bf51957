package io.bluebellramp.entry

import io.bluebellramp.core.SubmissionId
import io.bluebellramp.messages.Answer
import io.bluebellramp.messages.AnswerHandover
import io.bluebellramp.messages.ClaimHolder
import io.bluebellramp.messages.EntryPeer
import io.bluebellramp.messages.PendingBody
import io.ktor.client.HttpClient
import io.ktor.client.call.body
import io.ktor.client.request.get
import io.ktor.client.request.post
import io.ktor.client.request.setBody
import io.ktor.http.ContentType
import io.ktor.http.HttpStatusCode
import io.ktor.http.contentType
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Asks other entries for the answers to submissions that they own. */
internal class PeerClient(
    private val http: HttpClient,
    private val shell: EntryShell,
    private val scope: CoroutineScope,
) {
    /** Asks the owner once; the result goes to the core. */
    fun follow(follow: Action.Follow) {
        scope.launch {
            val result = ask(follow)
            if (result !is FollowResult.Answered) delay(RETRY)
            shell.use { now -> followed(follow.submission, result, now) }
        }
    }

    private suspend fun ask(follow: Action.Follow): FollowResult =
        boundedCall(CALL_TIMEOUT) {
            val response =
                http.get(follow.owner.path(follow.submission.value) + "?incarnation=${follow.owner.incarnation}&wait=$WAIT_MILLIS")
            when (response.status) {
                HttpStatusCode.OK -> FollowResult.Answered(response.body<Answer>())
                HttpStatusCode.NotFound -> FollowResult.NotOwner
                else -> FollowResult.NoAnswer
            }
        } ?: FollowResult.NoAnswer

    /** Passes a cancel on to the owner. */
    fun cancel(cancel: Action.CancelAtOwner) {
        scope.launch { boundedCall(CALL_TIMEOUT) { http.post(cancel.owner.path(cancel.submission.value) + "/cancel") } }
    }

    /** Cancels [id] at every live entry, and returns what came of it. */
    suspend fun cancelEverywhere(id: SubmissionId): PeerSearch =
        atEveryPeer { peer ->
            when (http.post(peer.path(id) + "/cancel").status) {
                HttpStatusCode.OK -> PeerSearch.Found
                HttpStatusCode.NotFound -> PeerSearch.Unknown
                else -> PeerSearch.Unclear
            }
        }

    /** Asks every live entry for the answer to [id], for at most [wait]. */
    suspend fun findEverywhere(
        id: SubmissionId,
        wait: Duration,
    ): PeerSearch =
        atEveryPeer(CALL_TIMEOUT + wait) { peer ->
            val response = http.get(peer.path(id) + "?incarnation=${peer.incarnation}&wait=${wait.inWholeMilliseconds}")
            when (response.status) {
                HttpStatusCode.OK -> PeerSearch.Answered(response.body<Answer>())
                HttpStatusCode.Accepted -> PeerSearch.Pending(response.body<PendingBody>())
                HttpStatusCode.NotFound -> PeerSearch.Unknown
                else -> PeerSearch.Unclear
            }
        }

    /** Gives the answers that no caller has fetched to every live entry, so that a caller who asks there later gets them. */
    suspend fun handOver() {
        for (page in shell.use { unfetched() }.chunked(HANDOVER_PAGE)) {
            atEveryPeer { peer ->
                http.post("http://${peer.address}/peers/answers") {
                    contentType(ContentType.Application.Json)
                    setBody(AnswerHandover(page))
                }
                PeerSearch.Found
            }
        }
    }

    private suspend fun atEveryPeer(
        time: Duration = CALL_TIMEOUT,
        call: suspend (EntryPeer) -> PeerSearch,
    ): PeerSearch {
        val peers = shell.use { otherEntries }
        val results = coroutineScope { peers.map { async { boundedCall(time) { call(it) } ?: PeerSearch.Unclear } }.awaitAll() }
        return results.maxByOrNull { it.rank } ?: PeerSearch.Unknown
    }

    private fun ClaimHolder.path(submission: String) = "http://$address/peers/submissions/$submission"

    private fun EntryPeer.path(submission: SubmissionId) = "http://$address/peers/submissions/$submission"

    private companion object {
        const val WAIT_MILLIS = 1_000L

        /** Answers in one message of a handover. */
        const val HANDOVER_PAGE = 100
        val CALL_TIMEOUT = 1_500.milliseconds
        val RETRY = 50.milliseconds
    }
}
