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
 * Sends messages of the replicated log over links between control processes. Each call names the member it is meant for, so that a new
 * member at the address of a former one never answers in its place.
 *
 * @param linkTo returns the link to a control process, or null; called on the event loop
 */
internal class LinkLogTransport(
    private val loop: EventLoop,
    private val clock: Clock,
    private val timeout: Duration,
    private val linkTo: (Address) -> FrameLink?,
) : LogTransport {
    private val callIds = AtomicLong()
    private val pendingCalls = ConcurrentHashMap<Long, CompletableDeferred<MemberReply>>()
    private val answeredAt = ConcurrentHashMap<MemberId, Duration>()

    /** Returns when [member] last answered a call, or null. */
    fun lastAnsweredAt(member: MemberId): Duration? = answeredAt[member]

    /** Completes the pending call that [reply] answers. */
    fun onReply(reply: MemberReply) {
        pendingCalls.remove(reply.id)?.complete(reply)
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
        buildCall: (Long) -> MemberCall,
    ): MemberReply? {
        val id = callIds.incrementAndGet()
        val reply = CompletableDeferred<MemberReply>()
        pendingCalls[id] = reply
        val text = WireJson.encodeToString(ControlFrame(call = buildCall(id)))
        loop.execute {
            val link = linkTo(to.address)
            if (link == null) pendingCalls.remove(id)?.complete(MemberReply(id)) else link.send(text)
        }
        val answer = withTimeoutOrNull(timeout) { reply.await() }
        pendingCalls.remove(id)
        val isAnswered = answer?.vote != null || answer?.append != null || answer?.snapshot != null
        if (isAnswered) answeredAt[to.member] = clock.monotonic()
        return answer
    }
}
