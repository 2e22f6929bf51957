package io.bluebellramp.replication

import io.bluebellramp.core.MemberId
import io.bluebellramp.core.WireJson
import io.bluebellramp.messages.AppendRequest
import io.bluebellramp.messages.AppendResponse
import io.bluebellramp.messages.LogRecord
import io.bluebellramp.messages.MemberAddress
import io.bluebellramp.messages.Membership
import io.bluebellramp.messages.MembershipAction
import io.bluebellramp.messages.MembershipRequest
import io.bluebellramp.messages.RecordKind
import io.bluebellramp.messages.VoteRequest
import io.bluebellramp.messages.VoteResponse
import org.junit.jupiter.api.Nested
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertIs
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class RaftCoreTest {
    private val cluster = SimulatedCluster(Random(SEED), 3, NetworkFaults(0.0, 0.0, 0.0))

    private fun leader() = cluster.nodes.values.single { it.holdsLeaderLease }

    private fun isolate(node: SimulatedCluster.Node) =
        cluster.nodes.keys.forEach {
            cluster.blockedLinks += node.id to it
            cluster.blockedLinks += it to node.id
        }

    private fun advance(seconds: Int) = cluster.runUntil(cluster.now + seconds.seconds)

    @Nested
    inner class `a follower that was isolated` {
        @Test
        fun `rejoins without an election`() {
            advance(3)
            val leader = leader()
            val term = leader.core?.term
            isolate(cluster.nodes.values.first { it !== leader })
            advance(10)
            cluster.blockedLinks.clear()
            advance(5)
            assertEquals(leader, leader())
            assertEquals(term, leader.core?.term)
        }
    }

    @Nested
    inner class `a leader without answers` {
        private val cluster = SimulatedCluster(Random(SEED), 3, NetworkFaults(0.0, 0.0, 0.0), maxUncommittedCharacters = 100)

        /** Guards against a log that grows without bound while nothing is committed. */
        @Test
        fun `refuses proposals beyond the size of uncommitted records, and accepts them again later`() {
            cluster.runUntil(3.seconds)
            val leader = cluster.nodes.values.single { it.holdsLeaderLease }
            leader.core?.let { core ->
                (1L..10L).forEach { core.onPropose(it, "command $it ".padEnd(40, 'x')) }
                val refused =
                    core
                        .takeOutput(leader.clock)
                        .immediateEffects
                        .filterIsInstance<Effect.CompleteProposal>()
                        .map { it.proposal to it.result::class }
                assertEquals((3L..10L).map { it to ProposalResult.Refused::class }, refused)
            }
            cluster.crash(leader)
            cluster.start(leader)
            cluster.runUntil(cluster.now + 3.seconds)
            val next = cluster.nodes.values.single { it.holdsLeaderLease }
            cluster.propose(next, "a single proposal may be larger".padEnd(300, 'x'))
            cluster.runUntil(cluster.now + 1.seconds)
            assertEquals(1, cluster.checker.acceptedCount)
        }
    }

    @Nested
    inner class `members that elect immediately after they start` {
        private val fastCluster = SimulatedCluster(Random(SEED), 3, NetworkFaults(0.0, 0.0, 0.0), electsAtStart = true)

        private fun leaders() = fastCluster.nodes.values.filter { it.core?.role == Role.LEADER }

        @Test
        fun `usually elect a leader within half an election timeout after all of them lost power`() {
            val electedInTime =
                (1..POWER_LOSSES).count {
                    fastCluster.runUntil(fastCluster.now + 3.seconds)
                    assertEquals(1, leaders().size, "no leader before loss $it: ${fastCluster.describe()}")
                    fastCluster.nodes.values.forEach(fastCluster::crash)
                    fastCluster.nodes.values.forEach(fastCluster::start)
                    fastCluster.runUntil(fastCluster.now + 200.milliseconds)
                    leaders().size == 1
                }
            // The other elections had a split vote or one of the slow writes of the simulated disks.
            assertTrue(electedInTime >= POWER_LOSSES * 3 / 4, "$electedInTime of $POWER_LOSSES")
        }

        @Test
        fun `do not replace a running leader when one of them restarts`() {
            fastCluster.runUntil(3.seconds)
            val leader = leaders().single()
            val term = leader.core?.term
            val other = fastCluster.nodes.values.first { it !== leader }
            repeat(10) {
                fastCluster.crash(other)
                fastCluster.runUntil(fastCluster.now + 50.milliseconds)
                fastCluster.start(other)
                fastCluster.runUntil(fastCluster.now + 500.milliseconds)
            }
            assertEquals(leader, leaders().single())
            assertEquals(term, leader.core?.term)
        }
    }

    @Nested
    inner class `a member whose folder was emptied` {
        private fun replaceAtSameAddress(
            messagesCarryReceiverId: Boolean,
            within: Duration = 8.seconds,
        ): ProposalResult {
            val cluster = SimulatedCluster(Random(SEED), 3, NetworkFaults(0.0, 0.0, 0.0), messagesCarryReceiverId = messagesCarryReceiverId)
            cluster.runUntil(3.seconds)
            val leader = cluster.nodes.values.single { it.holdsLeaderLease }
            val lost = cluster.nodes.values.first { it !== leader }
            cluster.propose(leader, "before")
            cluster.crash(lost)
            val newMember = cluster.add(MemberAddress(MemberId("p"), lost.address.address), joining = true)
            val results = ArrayList<ProposalResult>()
            val request = MembershipRequest(MembershipAction.REPLACE, newMember.id, newMember.address.address, lost.id)
            cluster.changeMembership(leader, request) { results += it }
            cluster.runUntil(cluster.now + within)
            if (results.single() is ProposalResult.Applied) assertEquals(leader.machine.commands, newMember.machine.commands)
            return results.single()
        }

        @Test
        fun `is replaced at its own address if messages name their receiver`() {
            assertIs<ProposalResult.Applied>(replaceAtSameAddress(messagesCarryReceiverId = true))
        }

        @Test
        fun `is replaced within two election timeouts if messages name their receiver`() {
            assertIs<ProposalResult.Applied>(replaceAtSameAddress(messagesCarryReceiverId = true, within = 800.milliseconds))
        }

        @Test
        fun `is not replaced at its own address if another process could answer for it`() {
            assertEquals(
                "is in use",
                assertIs<ProposalResult.Refused>(replaceAtSameAddress(messagesCarryReceiverId = false)).reason.takeLast(9),
            )
        }
    }

    @Nested
    inner class `a member that missed hundreds of commands` {
        @Test
        fun `catches up by a snapshot that is sent in parts`() {
            advance(3)
            val leader = leader()
            val absentMember = cluster.nodes.values.first { it !== leader }
            cluster.crash(absentMember)
            repeat(COMMANDS) {
                cluster.propose(leader, "c$it")
                cluster.runUntil(cluster.now + 20.milliseconds)
            }
            cluster.start(absentMember)
            advance(2)
            assertTrue(absentMember.machine.restoreCount > 0)
            assertEquals(leader.machine.commands, absentMember.machine.commands)
            assertEquals(COMMANDS, cluster.checker.acceptedCount)
        }
    }

    @Nested
    inner class `a new member that can never be reached` {
        @Test
        fun `is removed again, and other changes succeed`() {
            advance(3)
            val results = ArrayList<ProposalResult>()
            val unreachable = MembershipRequest(MembershipAction.ADD, MemberId("x"), address("x").address)
            cluster.changeMembership(leader(), unreachable) { results += it }
            advance(70)
            assertTrue("did not catch up" in assertIs<ProposalResult.Refused>(results.single()).reason)
            cluster.add(address("y"), joining = true)
            cluster.changeMembership(leader(), unreachable.copy(member = MemberId("y"), address = address("y").address)) { results += it }
            advance(10)
            assertIs<ProposalResult.Applied>(results.last())
        }
    }

    @Nested
    inner class `a new member that loses its disk while it is added` {
        @Test
        fun `does not block the member added after it`() {
            val cluster =
                SimulatedCluster(Random(SEED), 3, NetworkFaults(0.0, 0.0, 0.0), messagesCarryReceiverId = true, learnerTimeoutMillis = 1000)
            cluster.runUntil(3.seconds)
            val leader = cluster.nodes.values.single { it.holdsLeaderLease }
            val lost = cluster.nodes.values.first { it !== leader }
            cluster.crash(lost)
            val results = ArrayList<ProposalResult>()

            fun replaceBy(id: String) {
                val address = MemberAddress(MemberId(id), lost.address.address)
                val request = MembershipRequest(MembershipAction.REPLACE, address.member, address.address, lost.id)
                cluster.changeMembership(leader, request) { results += it }
                cluster.runUntil(cluster.now + 1.5.seconds)
            }
            replaceBy("gone")
            cluster.add(MemberAddress(MemberId("next"), lost.address.address), joining = true)
            replaceBy("next")
            assertIs<ProposalResult.Refused>(results.first())
            assertIs<ProposalResult.Applied>(results.last())
        }
    }

    @Nested
    inner class `a leader that was isolated` {
        @Test
        fun `loses its majority and steps down, and another member is elected`() {
            advance(3)
            val oldLeader = leader()
            isolate(oldLeader)
            advance(3)
            assertFalse(oldLeader.holdsLeaderLease)
            assertTrue(oldLeader.core?.role != Role.LEADER)
            assertTrue(leader() !== oldLeader)
        }
    }

    @Nested
    inner class `three founding members` {
        @Test
        fun `stay inactive until all of them have started`() {
            val last = cluster.nodes.values.last()
            cluster.crash(last)
            advance(10)
            assertTrue(cluster.nodes.values.none { it.holdsLeaderLease })
            cluster.start(last)
            advance(3)
            leader()
        }
    }

    @Nested
    inner class `many proposals in one batch` {
        @Test
        fun `share one write and one request to each member`() {
            advance(3)
            val leader = leader()
            val core = checkNotNull(leader.core)
            repeat(100) {
                cluster.checker.onCall("c$it", cluster.now)
                core.onPropose(it + 1_000_000L, "c$it")
            }
            val output = core.takeOutput(leader.clock)
            assertEquals(1, output.writes.size)
            assertEquals(2, output.immediateEffects.size)
        }
    }

    @Nested
    inner class `a new leader with records of an older term` {
        private val peer = address("b")
        private val members = Membership(1, listOf(address("a"), peer, address("c")), emptyList(), emptyList())
        private val stored =
            StoredState(
                VoteState(MemberId("a"), term = 3, stage = BootstrapStage.ACTIVE),
                null,
                listOf(
                    LogRecord(1, 0, RecordKind.MEMBERSHIP, WireJson.encodeToString(members)),
                    LogRecord(2, 2, RecordKind.COMMAND, "x".repeat(LONG_COMMAND_CHARACTERS)),
                ),
            )
        private val core = RaftCore(address("a"), members.voters, false, LogSettings(), ListStateMachine(), stored, Random(SEED), 0.seconds)

        private fun sent(output: Output) =
            (output.immediateEffects + output.effectsAfterSync)
                .filterIsInstance<Effect.Send>()
                .filter { it.to == peer }
                .map { it.request }

        private fun answer(
            request: PeerRequest,
            accepted: Boolean,
            lastIndex: Long,
        ): List<PeerRequest> {
            val round = (request as PeerRequest.Append).body.round
            core.onResponse(2.seconds, peer, request, PeerResponse.Append(AppendResponse(4, round, accepted, lastIndex)))
            return sent(core.takeOutput(2.seconds))
        }

        private fun grant(requests: List<PeerRequest>): List<PeerRequest> {
            val response = VoteResponse(4, granted = true, stage = BootstrapStage.ACTIVE)
            core.onResponse(2.seconds, peer, requests.single(), PeerResponse.Vote(response))
            return sent(core.takeOutput(2.seconds).also { core.onSynced(it.sequenceNumber) })
        }

        @Test
        fun `sends no records to a voter with an empty log`() {
            core.onTick(2.seconds)
            val first = grant(grant(sent(core.takeOutput(2.seconds))))
            assertEquals(emptyList(), answer(first.single(), accepted = false, lastIndex = 0))
            core.onTick(2.5.seconds)
            val next = assertIs<PeerRequest.Append>(sent(core.takeOutput(2.5.seconds)).single())
            assertEquals(emptyList(), next.body.records)
        }

        @Test
        fun `commits them only together with a record of its own term`() {
            core.onTick(2.seconds)
            val first = grant(grant(sent(core.takeOutput(2.seconds))))
            val second = answer(first.single(), accepted = false, lastIndex = 1)
            val third = answer(second.single(), accepted = true, lastIndex = 2)
            assertEquals(0, core.status().commitIndex)
            answer(third.single(), accepted = true, lastIndex = 3)
            assertEquals(3, core.status().commitIndex)
        }
    }

    @Nested
    inner class `a replacement that is not confirmed` {
        private val old = Membership(1, listOf("a", "b", "c").map(::address), emptyList(), emptyList())
        private val new = Membership(2, listOf("a", "b", "d").map(::address), emptyList(), listOf(MemberId("c")))
        private val stored =
            StoredState(
                VoteState(MemberId("a"), term = 1, stage = BootstrapStage.ACTIVE),
                null,
                listOf(old, new).map { LogRecord(it.index, it.index - 1, RecordKind.MEMBERSHIP, WireJson.encodeToString(it)) },
            )
        private val core = RaftCore(address("a"), old.voters, false, LogSettings(), ListStateMachine(), stored, Random(SEED), 0.seconds)

        private fun preVoteRequests() = core.takeOutput(2.seconds).effectsAfterSync.filterIsInstance<Effect.Send>()

        private fun grant(preVoteRequest: Effect.Send) {
            val response = VoteResponse(1, granted = true, stage = BootstrapStage.ACTIVE)
            core.onResponse(2.seconds, preVoteRequest.to, preVoteRequest.request, PeerResponse.Vote(response))
        }

        @Test
        fun `also needs a majority of the old voters for an election`() {
            core.onTick(2.seconds)
            val preVoteRequests = preVoteRequests().associateBy { it.to.member.value }
            assertEquals(setOf("b", "c", "d"), preVoteRequests.keys)
            grant(preVoteRequests.getValue("d"))
            assertEquals(1, core.term)
            grant(preVoteRequests.getValue("b"))
            assertEquals(2, core.term)
        }
    }

    @Nested
    inner class `a retired member` {
        private val members = Membership(5, listOf("a", "b", "d").map(::address), emptyList(), listOf(MemberId("c")))
        private val stored =
            StoredState(VoteState(MemberId("a"), 1, null, BootstrapStage.ACTIVE), StoredSnapshot(6, 1, members, ""), emptyList())
        private val core = RaftCore(address("a"), members.voters, false, LogSettings(), ListStateMachine(), stored, Random(SEED), 0.seconds)

        private fun answer(request: PeerRequest): PeerResponse {
            core.onRequest(2.seconds, 1, request)
            val reply = core.takeOutput(2.seconds).effectsAfterSync.single()
            return assertIs<Effect.Reply>(reply).response
        }

        @Test
        fun `gets no vote and no acknowledgement, and does not change the term`() {
            val vote = VoteRequest(9, MemberId("c"), 99, 8, preVote = false)
            assertFalse(assertIs<PeerResponse.Vote>(answer(PeerRequest.Vote(vote))).body.granted)
            val append = AppendRequest(9, address("c"), 1, 6, 1, emptyList(), 6)
            assertEquals(
                AppendResponse(0, 0, accepted = false, lastIndex = 0),
                assertIs<PeerResponse.Append>(answer(PeerRequest.Append(append))).body,
            )
            assertEquals(1, core.term)
        }
    }

    private companion object {
        /** Too long to share a request with another record. */
        const val LONG_COMMAND_CHARACTERS = 1_100_000

        const val SEED = 7L
        const val POWER_LOSSES = 40
        const val COMMANDS = 300
    }
}
