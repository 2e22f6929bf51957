package io.bluebellramp.entry

import io.bluebellramp.core.IncarnationId
import io.bluebellramp.core.ServiceId
import io.bluebellramp.core.SubmissionId
import io.bluebellramp.core.TargetId
import io.bluebellramp.core.ZoneId
import io.bluebellramp.messages.ClaimHolder

/** A side effect that [EntryCore] asks [EntryCoreRunner] to carry out. */
internal sealed interface Action {
    /** Request a claim from the voting members and pass the result to [EntryCore.onClaimResult]. */
    data class Claim(
        val submission: SubmissionId,
        val digest: String,
        val takeover: IncarnationId? = null,
    ) : Action

    /** Release a claim that this entry holds at some members but does not use. */
    data class Release(
        val submission: SubmissionId,
    ) : Action

    /** Ask the owning entry for its answer and pass the reply to [EntryCore.onOwnerReply]. */
    data class QueryOwner(
        val submission: SubmissionId,
        val owner: ClaimHolder,
    ) : Action

    /** Forward a cancellation to the owning entry. */
    data class CancelAtOwner(
        val submission: SubmissionId,
        val owner: ClaimHolder,
    ) : Action

    /** Return [reply] to every caller that waits for the submission. */
    data class Deliver(
        val submission: SubmissionId,
        val reply: Reply,
    ) : Action

    /** Send the frame that [EntryCore.takeFrame] returns for the connection. */
    data class Flush(
        val link: LinkId,
    ) : Action

    /** Close the connection. */
    data class Close(
        val link: LinkId,
    ) : Action

    /** Log the placement of one task. [candidates] is the state before the batch in which the task was placed. */
    data class LogPlacementDecision(
        val submission: SubmissionId,
        val task: Int,
        val attempt: Int,
        val service: ServiceId,
        val target: TargetId,
        val zone: ZoneId,
        val candidates: PlacementCandidates,
    ) : Action

    /** Log a decision about a whole submission, for example that it was admitted or refused. */
    data class LogSubmissionDecision(
        val kind: String,
        val reason: String,
        val submission: SubmissionId,
    ) : Action
}

/** Identifies one WebSocket connection from an agent. */
@JvmInline
internal value class LinkId(
    val value: Long,
)
