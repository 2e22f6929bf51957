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

/** Calls the [PeerApi] of other entries. */
internal class PeerClient(
    private val http: HttpClient,
    private val runner: EntryCoreRunner,
    private val scope: CoroutineScope,
) {
    /** Asks the owner once and passes the reply to [EntryCore.onOwnerReply]. */
    fun queryOwner(query: Action.QueryOwner) {
        scope.launch {
            val result = askOwner(query)
            if (result !is OwnerReply.Answered) delay(RETRY_DELAY)
            runner.withCore { now -> onOwnerReply(query.submission, result, now) }
        }
    }

    private suspend fun askOwner(query: Action.QueryOwner): OwnerReply =
        callOrNull(CALL_TIMEOUT) {
            val response =
                http.get(query.owner.url(query.submission.value) + "?incarnation=${query.owner.incarnation}&wait=$LONG_POLL_MILLIS")
            when (response.status) {
                HttpStatusCode.OK -> OwnerReply.Answered(response.body<Answer>())
                HttpStatusCode.NotFound -> OwnerReply.NotOwner
                else -> OwnerReply.NoAnswer
            }
        } ?: OwnerReply.NoAnswer

    /** Forwards a cancellation to the owner in the background. */
    fun cancel(cancel: Action.CancelAtOwner) {
        scope.launch { callOrNull(CALL_TIMEOUT) { http.post(cancel.owner.url(cancel.submission.value) + "/cancel") } }
    }

    /** Cancels [id] at every other live entry. */
    suspend fun cancelAtAllPeers(id: SubmissionId): PeerSearchResult =
        queryAllPeers { peer ->
            when (http.post(peer.url(id) + "/cancel").status) {
                HttpStatusCode.OK -> PeerSearchResult.Found
                HttpStatusCode.NotFound -> PeerSearchResult.Unknown
                else -> PeerSearchResult.Uncertain
            }
        }

    /** Asks every other live entry for the answer to [id], which each waits for up to [wait]. */
    suspend fun findAtAllPeers(
        id: SubmissionId,
        wait: Duration,
    ): PeerSearchResult =
        queryAllPeers(CALL_TIMEOUT + wait) { peer ->
            val response = http.get(peer.url(id) + "?incarnation=${peer.incarnation}&wait=${wait.inWholeMilliseconds}")
            when (response.status) {
                HttpStatusCode.OK -> PeerSearchResult.Answered(response.body<Answer>())
                HttpStatusCode.Accepted -> PeerSearchResult.Pending(response.body<PendingBody>())
                HttpStatusCode.NotFound -> PeerSearchResult.Unknown
                else -> PeerSearchResult.Uncertain
            }
        }

    /** Sends the answers that no caller has received to every other live entry, so that callers can get them there after the shutdown. */
    suspend fun handOverAnswers() {
        for (page in runner.withCore { unfetchedAnswers() }.chunked(HANDOVER_PAGE_SIZE)) {
            queryAllPeers { peer ->
                http.post("http://${peer.address}/peers/answers") {
                    contentType(ContentType.Application.Json)
                    setBody(AnswerHandover(page))
                }
                PeerSearchResult.Found
            }
        }
    }

    private suspend fun queryAllPeers(
        timeout: Duration = CALL_TIMEOUT,
        call: suspend (EntryPeer) -> PeerSearchResult,
    ): PeerSearchResult {
        val peers = runner.withCore { otherEntries }
        val results = coroutineScope { peers.map { async { callOrNull(timeout) { call(it) } ?: PeerSearchResult.Uncertain } }.awaitAll() }
        return results.maxByOrNull { it.rank } ?: PeerSearchResult.Unknown
    }

    private fun ClaimHolder.url(submission: String) = "http://$address/peers/submissions/$submission"

    private fun EntryPeer.url(submission: SubmissionId) = "http://$address/peers/submissions/$submission"

    private companion object {
        const val LONG_POLL_MILLIS = 1_000L

        /** Answers in one handover message. */
        const val HANDOVER_PAGE_SIZE = 100
        val CALL_TIMEOUT = 1_500.milliseconds
        val RETRY_DELAY = 50.milliseconds
    }
}
