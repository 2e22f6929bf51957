package io.bluebellramp.entry

import io.bluebellramp.core.IncarnationId
import io.bluebellramp.core.ServiceId
import io.bluebellramp.core.SubmissionId
import io.bluebellramp.core.TargetId
import io.bluebellramp.core.ZoneId
import io.bluebellramp.messages.ClaimHolder

/** What the shell must do for [EntryCore]. */
internal sealed interface Action {
    /** Ask the members for a claim and pass the verdict to [EntryCore.claimed]. */
    data class Claim(
        val submission: SubmissionId,
        val digest: String,
        val takeover: IncarnationId? = null,
    ) : Action

    /** Give up a claim for which there was no majority. */
    data class Release(
        val submission: SubmissionId,
    ) : Action

    /** Ask the owner for its answer and pass the reply to [EntryCore.followed]. */
    data class Follow(
        val submission: SubmissionId,
        val owner: ClaimHolder,
    ) : Action

    /** Pass a cancel on to the owner. */
    data class CancelAtOwner(
        val submission: SubmissionId,
        val owner: ClaimHolder,
    ) : Action

    /** Give [reply] to everyone who waits for the submission. */
    data class Deliver(
        val submission: SubmissionId,
        val reply: Reply,
    ) : Action

    /** Send what [EntryCore.drain] returns for the link. */
    data class Wake(
        val link: LinkId,
    ) : Action

    /** Close the link. */
    data class Close(
        val link: LinkId,
    ) : Action

    /** Log a placement of one task. The [candidates] are those before the batch in which it was placed. */
    data class LogPlacement(
        val submission: SubmissionId,
        val task: Int,
        val attempt: Int,
        val service: ServiceId,
        val target: TargetId,
        val zone: ZoneId,
        val candidates: Candidates,
    ) : Action

    /** Log a decision about a whole submission. */
    data class LogRouting(
        val kind: String,
        val reason: String,
        val submission: SubmissionId,
    ) : Action
}

/** Names one connection of an agent. */
@JvmInline
internal value class LinkId(
    val value: Long,
)
