package io.bluebellramp.replication

import io.bluebellramp.messages.AppendRequest
import io.bluebellramp.messages.AppendResponse
import io.bluebellramp.messages.LogRecord
import io.bluebellramp.messages.MemberAddress
import io.bluebellramp.messages.SnapshotRequest
import io.bluebellramp.messages.SnapshotResponse
import io.bluebellramp.messages.VoteRequest
import io.bluebellramp.messages.VoteResponse

/** A request from one member to another. */
internal sealed interface PeerRequest {
    data class Vote(
        val body: VoteRequest,
    ) : PeerRequest

    data class Append(
        val body: AppendRequest,
    ) : PeerRequest

    data class Snapshot(
        val body: SnapshotRequest,
    ) : PeerRequest
}

/** The answer to a [PeerRequest]. */
internal sealed interface PeerResponse {
    data class Vote(
        val body: VoteResponse,
    ) : PeerResponse

    data class Append(
        val body: AppendResponse,
    ) : PeerResponse

    data class Snapshot(
        val body: SnapshotResponse,
    ) : PeerResponse
}

/** An action that [RaftCore] asks its owner to perform, because it does no I/O itself. */
internal sealed interface Effect {
    /** Sends [request] to [to] and passes the answer, or null if none came, to [RaftCore.onResponse]. */
    data class Send(
        val to: MemberAddress,
        val request: PeerRequest,
    ) : Effect

    /** Answers the request that was passed to [RaftCore.onRequest] as [call]. */
    data class Reply(
        val call: Long,
        val response: PeerResponse,
    ) : Effect

    /** Completes [proposal] with [result]. */
    data class CompleteProposal(
        val proposal: Long,
        val result: ProposalResult,
    ) : Effect
}

/**
 * The result of a batch of inputs to [RaftCore].
 *
 * @property sequenceNumber consecutive number of the output, to be passed to [RaftCore.onSynced] once [writes] are durable
 * @property immediateEffects effects that depend on no durable state and may be performed immediately
 * @property effectsAfterSync effects that may be performed only once [writes] and the writes of all earlier outputs are durable
 */
internal class Output(
    val sequenceNumber: Long,
    val writes: List<StorageWrite>,
    val immediateEffects: List<Effect>,
    val effectsAfterSync: List<Effect>,
) {
    val isEmpty get() = writes.isEmpty() && immediateEffects.isEmpty() && effectsAfterSync.isEmpty()
}

/** Collects the writes and effects of a batch of inputs until [takeOutput] returns them. */
internal class Outbox {
    private var writes = ArrayList<StorageWrite>()
    private var immediateEffects = ArrayList<Effect>()
    private var effectsAfterSync = ArrayList<Effect>()
    private var sequenceNumber = 0L

    fun write(write: StorageWrite) {
        val last = writes.lastOrNull()
        if (write is StorageWrite.Append && last is StorageWrite.Append && isContiguous(last.records, write.records)) {
            writes[writes.size - 1] = StorageWrite.Append(last.records + write.records)
        } else {
            writes += write
        }
    }

    fun send(
        to: MemberAddress,
        request: PeerRequest,
    ) {
        immediateEffects += Effect.Send(to, request)
    }

    fun sendAfterSync(
        to: MemberAddress,
        request: PeerRequest,
    ) {
        effectsAfterSync += Effect.Send(to, request)
    }

    fun reply(
        call: Long,
        response: PeerResponse,
    ) {
        effectsAfterSync += Effect.Reply(call, response)
    }

    fun completeProposal(
        proposal: Long,
        result: ProposalResult,
    ) {
        immediateEffects += Effect.CompleteProposal(proposal, result)
    }

    fun takeOutput(): Output {
        val output = Output(++sequenceNumber, writes, immediateEffects, effectsAfterSync)
        writes = ArrayList()
        immediateEffects = ArrayList()
        effectsAfterSync = ArrayList()
        return output
    }

    private fun isContiguous(
        first: List<LogRecord>,
        second: List<LogRecord>,
    ) = second.first().index == first.last().index + 1
}
