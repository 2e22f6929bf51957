package io.bluebellramp.control

import io.bluebellramp.core.Address
import io.bluebellramp.core.MemberId
import io.bluebellramp.messages.AppendRequest
import io.bluebellramp.messages.AppendResponse
import io.bluebellramp.messages.MemberAddress
import io.bluebellramp.messages.Membership
import io.bluebellramp.messages.MembershipRequest
import io.bluebellramp.messages.SnapshotRequest
import io.bluebellramp.messages.SnapshotResponse
import io.bluebellramp.messages.VoteRequest
import io.bluebellramp.messages.VoteResponse
import io.bluebellramp.replication.LogStatus
import io.bluebellramp.replication.ProposalResult
import io.bluebellramp.replication.ReplicatedLog
import io.bluebellramp.replication.Role

/** A single-member log that commits immediately while it [leads]. */
internal class FakeLog(
    private val machine: ConfigurationStateMachine,
    private val self: MemberAddress = MemberAddress(MemberId("control-1"), Address("127.0.0.1:1")),
) : ReplicatedLog {
    var leads = true
    var losesAnswers = false
    var leader: MemberAddress? = self
    var term = 1L
    var role: Role? = null
    private var index = 1L

    override suspend fun propose(command: String): ProposalResult {
        if (!leads) return ProposalResult.NotLeader(leader)
        val answer = machine.apply(++index, command)
        return if (losesAnswers) ProposalResult.Unknown else ProposalResult.Applied(index, answer)
    }

    override suspend fun changeMembership(request: MembershipRequest): ProposalResult = ProposalResult.Refused("one member only")

    override fun holdsLeaderLease() = leads

    override fun status() =
        LogStatus(
            role = role ?: if (leads) Role.LEADER else Role.FOLLOWER,
            term = term,
            leader = leader,
            commitIndex = index,
            appliedIndex = index,
            lastIndex = index,
            membership = Membership(index = 1, voters = listOf(self), learners = emptyList(), retired = emptyList()),
            matchIndexes = emptyMap(),
        )

    override suspend fun onVote(request: VoteRequest) = VoteResponse(term = 1, granted = false)

    override suspend fun onAppend(request: AppendRequest) =
        AppendResponse(term = 1, round = request.round, accepted = true, lastIndex = index)

    override suspend fun onSnapshot(request: SnapshotRequest) = SnapshotResponse(term = 1, round = 1, nextOffset = 0, installed = true)
}
