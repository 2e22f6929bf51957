package io.bluebellramp.control.node

import io.bluebellramp.core.Address
import io.bluebellramp.core.Clock
import io.bluebellramp.core.MemberId
import io.bluebellramp.core.WireJson
import io.bluebellramp.messages.AppendRequest
import io.bluebellramp.messages.AppendResponse
import io.bluebellramp.messages.ControlFrame
import io.bluebellramp.messages.MemberAddress
import io.bluebellramp.messages.MemberCall
import io.bluebellramp.messages.MemberReply
import io.bluebellramp.messages.SnapshotRequest
import io.bluebellramp.messages.SnapshotResponse
import io.bluebellramp.messages.VoteRequest
import io.bluebellramp.messages.VoteResponse
import io.bluebellramp.replication.LogTransport
import io.bluebellramp.transport.EventLoop
import io.bluebellramp.transport.FrameLink
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.withTimeoutOrNull
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicLong
import kotlin.time.Duration

/**
 * Sends the messages of the replicated log over links between control processes. Each call names the member it is for, so that a member
 * with a new folder at the address of an old one never answers for it.
 *
 * @param linkTo returns the link to a control process, or null; called on the event loop
 */
internal class LinkLogTransport(
    private val loop: EventLoop,
    private val clock: Clock,
    private val timeout: Duration,
    private val linkTo: (Address) -> FrameLink?,
) : LogTransport {
    private val numbers = AtomicLong()
    private val open = ConcurrentHashMap<Long, CompletableDeferred<MemberReply>>()
    private val answeredAt = ConcurrentHashMap<MemberId, Duration>()

    /** Returns when [member] last answered a call, or null. */
    fun lastAnswer(member: MemberId): Duration? = answeredAt[member]

    /** Takes the reply to a call. */
    fun onReply(reply: MemberReply) {
        open.remove(reply.id)?.complete(reply)
    }

    override suspend fun vote(
        to: MemberAddress,
        request: VoteRequest,
    ): VoteResponse? = call(to) { MemberCall(it, to.member, vote = request) }?.vote

    override suspend fun append(
        to: MemberAddress,
        request: AppendRequest,
    ): AppendResponse? = call(to) { MemberCall(it, to.member, append = request) }?.append

    override suspend fun snapshot(
        to: MemberAddress,
        request: SnapshotRequest,
    ): SnapshotResponse? = call(to) { MemberCall(it, to.member, snapshot = request) }?.snapshot

    private suspend fun call(
        to: MemberAddress,
        body: (Long) -> MemberCall,
    ): MemberReply? {
        val id = numbers.incrementAndGet()
        val reply = CompletableDeferred<MemberReply>()
        open[id] = reply
        val text = WireJson.encodeToString(ControlFrame(call = body(id)))
        loop.execute {
            val link = linkTo(to.address)
            if (link == null) open.remove(id)?.complete(MemberReply(id)) else link.send(text)
        }
        val answer = withTimeoutOrNull(timeout) { reply.await() }
        open.remove(id)
        val isAnswered = answer?.vote != null || answer?.append != null || answer?.snapshot != null
        if (isAnswered) answeredAt[to.member] = clock.monotonic()
        return answer
    }
}
