package io.bluebellramp.replication

import io.bluebellramp.core.MemberId
import io.bluebellramp.core.WireJson
import io.bluebellramp.messages.LogRecord
import io.bluebellramp.messages.MemberAddress
import io.bluebellramp.messages.Membership
import io.bluebellramp.messages.RecordKind
import io.bluebellramp.messages.VoteRequest
import io.bluebellramp.messages.VoteResponse
import kotlin.time.Duration

/**
 * Activates the founding members of a new cluster, but no member whose data folder was emptied later.
 *
 * A member becomes [BootstrapStage.CONFIRMED] once every other founding member has answered that it is not active, and
 * [BootstrapStage.ACTIVE] once every other one has answered that it is at least confirmed, or one that it is active. An active member
 * knows that all others were confirmed. So a member in stage [BootstrapStage.NEW] that gets an answer from an active one has lost its
 * state, and never becomes active.
 */
internal class ClusterBootstrap(
    private val state: MemberState,
    private val foundingMembers: List<MemberAddress>,
) {
    private val stageByMember = HashMap<MemberId, Int>()
    private var lastAskedAt: Duration? = null
    private var hasLostState = false

    private val otherMembers = foundingMembers.filter { it.member != state.id }

    /** Asks the other founding members for their stages, at most once per heartbeat interval. */
    fun onTick(now: Duration) {
        if (state.isActive || state.vote.joining || hasLostState) return
        if (otherMembers.isEmpty()) return advanceStage()
        if (lastAskedAt?.let { now - it < state.settings.heartbeatInterval } == true) return
        lastAskedAt = now
        val request = VoteRequest(0, state.id, 0, 0, preVote = true, founding = true)
        otherMembers.forEach { state.outbox.sendAfterSync(it, PeerRequest.Vote(request)) }
    }

    fun onVoteResponse(
        from: MemberAddress,
        response: VoteResponse,
    ) {
        if (state.isActive || hasLostState) return
        stageByMember[from.member] = maxOf(response.stage, stageByMember[from.member] ?: 0)
        if (state.vote.stage == BootstrapStage.NEW && response.stage == BootstrapStage.ACTIVE) {
            hasLostState = true
            return
        }
        advanceStage()
    }

    private fun advanceStage() {
        if (state.vote.stage == BootstrapStage.NEW) {
            if (otherMembers.any { it.member !in stageByMember }) return
            state.saveVote(state.vote.copy(stage = BootstrapStage.CONFIRMED))
        }
        val allConfirmed = otherMembers.all { stageByMember.getOrDefault(it.member, 0) >= BootstrapStage.CONFIRMED }
        val anyActive = stageByMember.values.any { it == BootstrapStage.ACTIVE }
        if (allConfirmed || anyActive) activate()
    }

    private fun activate() {
        if (state.log.isEmpty) appendInitialMembership()
        state.saveVote(state.vote.copy(stage = BootstrapStage.ACTIVE))
    }

    private fun appendInitialMembership() {
        val members = Membership(FIRST_INDEX, foundingMembers.sortedBy { it.member.value }, emptyList(), emptyList())
        val record = LogRecord(FIRST_INDEX, 0, RecordKind.MEMBERSHIP, WireJson.encodeToString(members))
        state.log.append(listOf(record))
        state.outbox.write(StorageWrite.Append(listOf(record)))
    }

    private companion object {
        const val FIRST_INDEX = 1L
    }
}
