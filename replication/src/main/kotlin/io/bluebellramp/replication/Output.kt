package io.bluebellramp.replication

import io.bluebellramp.messages.AppendRequest
import io.bluebellramp.messages.AppendResponse
import io.bluebellramp.messages.LogRecord
import io.bluebellramp.messages.MemberAddress
import io.bluebellramp.messages.SnapshotRequest
import io.bluebellramp.messages.SnapshotResponse
import io.bluebellramp.messages.VoteRequest
import io.bluebellramp.messages.VoteResponse

/** A request between members. */
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

/** What the shell has to do for the core. */
internal sealed interface Effect {
    /** Sends [request] and passes its answer, or null, to [RaftCore.onResponse]. */
    data class Send(
        val to: MemberAddress,
        val request: PeerRequest,
    ) : Effect

    /** Answers the request that came in as [call]. */
    data class Reply(
        val call: Long,
        val response: PeerResponse,
    ) : Effect

    /** Answers the proposal [proposal]. */
    data class Finish(
        val proposal: Long,
        val result: ProposalResult,
    ) : Effect
}

/**
 * The outcome of a batch of inputs.
 *
 * @property number counts the outputs; it is passed to [RaftCore.onSynced] once [writes] are durable
 * @property atOnce effects that need no durable state
 * @property afterSync effects that may be seen only once [writes] and those of all earlier outputs are durable
 */
internal class Output(
    val number: Long,
    val writes: List<StorageWrite>,
    val atOnce: List<Effect>,
    val afterSync: List<Effect>,
) {
    val isEmpty get() = writes.isEmpty() && atOnce.isEmpty() && afterSync.isEmpty()
}

/** Collects the effects of a batch of inputs. */
internal class Outbox {
    private var writes = ArrayList<StorageWrite>()
    private var atOnce = ArrayList<Effect>()
    private var afterSync = ArrayList<Effect>()
    private var number = 0L

    fun write(write: StorageWrite) {
        val last = writes.lastOrNull()
        if (write is StorageWrite.Append && last is StorageWrite.Append && follows(last.records, write.records)) {
            writes[writes.size - 1] = StorageWrite.Append(last.records + write.records)
        } else {
            writes += write
        }
    }

    fun send(
        to: MemberAddress,
        request: PeerRequest,
    ) {
        atOnce += Effect.Send(to, request)
    }

    fun sendAfterSync(
        to: MemberAddress,
        request: PeerRequest,
    ) {
        afterSync += Effect.Send(to, request)
    }

    fun reply(
        call: Long,
        response: PeerResponse,
    ) {
        afterSync += Effect.Reply(call, response)
    }

    fun finish(
        proposal: Long,
        result: ProposalResult,
    ) {
        atOnce += Effect.Finish(proposal, result)
    }

    fun take(): Output {
        val output = Output(++number, writes, atOnce, afterSync)
        writes = ArrayList()
        atOnce = ArrayList()
        afterSync = ArrayList()
        return output
    }

    private fun follows(
        first: List<LogRecord>,
        second: List<LogRecord>,
    ) = second.first().index == first.last().index + 1
}
