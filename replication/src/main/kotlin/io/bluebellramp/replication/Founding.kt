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
 * Lets the founding members of a new cluster become active, and nobody whose folder was emptied later.
 *
 * A member becomes [FoundingStage.CONFIRMED] once every other founding member said that it is not active, and
 * [FoundingStage.ACTIVE] once every other one said that it is at least confirmed, or one that it is active. An active member
 * knows that all others were confirmed, so a member that is new and meets one has lost its folder and stays silent.
 */
internal class Founding(
    private val state: MemberState,
    private val founding: List<MemberAddress>,
) {
    private val stages = HashMap<MemberId, Int>()
    private var askedAt: Duration? = null
    private var isRefused = false

    private val others = founding.filter { it.member != state.id }

    /** Asks the others if it is time to. */
    fun tick(now: Duration) {
        if (state.isActive || state.vote.joining || isRefused) return
        if (others.isEmpty()) return advance()
        if (askedAt?.let { now - it < state.settings.heartbeat } == true) return
        askedAt = now
        val request = VoteRequest(0, state.id, 0, 0, preVote = true, founding = true)
        others.forEach { state.outbox.sendAfterSync(it, PeerRequest.Vote(request)) }
    }

    fun onAnswer(
        from: MemberAddress,
        response: VoteResponse,
    ) {
        if (state.isActive || isRefused) return
        stages[from.member] = maxOf(response.stage, stages[from.member] ?: 0)
        if (state.vote.stage == FoundingStage.NEW && response.stage == FoundingStage.ACTIVE) {
            isRefused = true
            return
        }
        advance()
    }

    private fun advance() {
        if (state.vote.stage == FoundingStage.NEW) {
            if (others.any { it.member !in stages }) return
            state.save(state.vote.copy(stage = FoundingStage.CONFIRMED))
        }
        val allConfirmed = others.all { stages.getOrDefault(it.member, 0) >= FoundingStage.CONFIRMED }
        val anyActive = stages.values.any { it == FoundingStage.ACTIVE }
        if (allConfirmed || anyActive) activate()
    }

    private fun activate() {
        if (state.log.isEmpty) found()
        state.save(state.vote.copy(stage = FoundingStage.ACTIVE))
    }

    private fun found() {
        val members = Membership(FIRST_INDEX, founding.sortedBy { it.member.value }, emptyList(), emptyList())
        val record = LogRecord(FIRST_INDEX, 0, RecordKind.MEMBERSHIP, WireJson.encodeToString(members))
        state.log.append(listOf(record))
        state.outbox.write(StorageWrite.Append(listOf(record)))
    }

    private companion object {
        const val FIRST_INDEX = 1L
    }
}
