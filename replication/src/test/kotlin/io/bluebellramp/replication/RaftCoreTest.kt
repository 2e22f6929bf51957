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
    private val cluster = FakeCluster(Random(SEED), 3, Chaos(0.0, 0.0, 0.0))

    private fun leader() = cluster.nodes.values.single { it.holdsMajority }

    private fun cut(node: FakeCluster.Node) =
        cluster.nodes.keys.forEach {
            cluster.blocked += node.id to it
            cluster.blocked += it to node.id
        }

    private fun run(seconds: Int) = cluster.runUntil(cluster.now + seconds.seconds)

    @Nested
    inner class `a follower that was cut off` {
        @Test
        fun `comes back without an election`() {
            run(3)
            val leader = leader()
            val term = leader.core?.term
            cut(cluster.nodes.values.first { it !== leader })
            run(10)
            cluster.blocked.clear()
            run(5)
            assertEquals(leader, leader())
            assertEquals(term, leader.core?.term)
        }
    }

    @Nested
    inner class `members that elect as soon as they start` {
        private val quick = FakeCluster(Random(SEED), 3, Chaos(0.0, 0.0, 0.0), electsAtStart = true)

        private fun leads() = quick.nodes.values.filter { it.core?.role == Role.LEADER }

        @Test
        fun `mostly have a leader within half an election time after all of them lost power`() {
            val quickly =
                (1..LOSSES).count {
                    quick.runUntil(quick.now + 3.seconds)
                    assertEquals(1, leads().size, "no leader before loss $it: ${quick.describe()}")
                    quick.nodes.values.forEach(quick::crash)
                    quick.nodes.values.forEach(quick::start)
                    quick.runUntil(quick.now + 200.milliseconds)
                    leads().size == 1
                }
            // The others met a split vote or one of the slow writes of the fake disks.
            assertTrue(quickly >= LOSSES * 3 / 4, "$quickly of $LOSSES")
        }

        @Test
        fun `leave a living leader alone when one of them starts again`() {
            quick.runUntil(3.seconds)
            val leader = leads().single()
            val term = leader.core?.term
            val other = quick.nodes.values.first { it !== leader }
            repeat(10) {
                quick.crash(other)
                quick.runUntil(quick.now + 50.milliseconds)
                quick.start(other)
                quick.runUntil(quick.now + 500.milliseconds)
            }
            assertEquals(leader, leads().single())
            assertEquals(term, leader.core?.term)
        }
    }

    @Nested
    inner class `a member whose folder was emptied` {
        private fun replaceAtItsAddress(
            namesReceiver: Boolean,
            within: Duration = 8.seconds,
        ): ProposalResult {
            val cluster = FakeCluster(Random(SEED), 3, Chaos(0.0, 0.0, 0.0), namesReceiver = namesReceiver)
            cluster.runUntil(3.seconds)
            val leader = cluster.nodes.values.single { it.holdsMajority }
            val lost = cluster.nodes.values.first { it !== leader }
            cluster.propose(leader, "before")
            cluster.crash(lost)
            val newcomer = cluster.add(MemberAddress(MemberId("p"), lost.address.address), joining = true)
            val results = ArrayList<ProposalResult>()
            val request = MembershipRequest(MembershipAction.REPLACE, newcomer.id, newcomer.address.address, lost.id)
            cluster.change(leader, request) { results += it }
            cluster.runUntil(cluster.now + within)
            if (results.single() is ProposalResult.Applied) assertEquals(leader.machine.commands, newcomer.machine.commands)
            return results.single()
        }

        @Test
        fun `is replaced at its own address where messages name their receiver`() {
            assertIs<ProposalResult.Applied>(replaceAtItsAddress(namesReceiver = true))
        }

        @Test
        fun `is replaced within two election times where messages name their receiver`() {
            assertIs<ProposalResult.Applied>(replaceAtItsAddress(namesReceiver = true, within = 800.milliseconds))
        }

        @Test
        fun `is not replaced at its own address where another process could answer for it`() {
            assertEquals("is in use", assertIs<ProposalResult.Refused>(replaceAtItsAddress(namesReceiver = false)).reason.takeLast(9))
        }
    }

    @Nested
    inner class `a member that was away for hundreds of changes` {
        @Test
        fun `catches up by snapshot, in parts`() {
            run(3)
            val leader = leader()
            val away = cluster.nodes.values.first { it !== leader }
            cluster.crash(away)
            repeat(CHANGES) {
                cluster.propose(leader, "c$it")
                cluster.runUntil(cluster.now + 20.milliseconds)
            }
            cluster.start(away)
            run(2)
            assertTrue(away.machine.restores > 0)
            assertEquals(leader.machine.commands, away.machine.commands)
            assertEquals(CHANGES, cluster.checker.accepted)
        }
    }

    @Nested
    inner class `a new member that is never reached` {
        @Test
        fun `is given up, and further changes go on`() {
            run(3)
            val results = ArrayList<ProposalResult>()
            val missing = MembershipRequest(MembershipAction.ADD, MemberId("x"), address("x").address)
            cluster.change(leader(), missing) { results += it }
            run(70)
            assertTrue("did not catch up" in assertIs<ProposalResult.Refused>(results.single()).reason)
            cluster.add(address("y"), joining = true)
            cluster.change(leader(), missing.copy(member = MemberId("y"), address = address("y").address)) { results += it }
            run(10)
            assertIs<ProposalResult.Applied>(results.last())
        }
    }

    @Nested
    inner class `a newcomer that loses its disk while it is taken in` {
        @Test
        fun `does not bar the one that comes after it`() {
            val cluster = FakeCluster(Random(SEED), 3, Chaos(0.0, 0.0, 0.0), namesReceiver = true, learnerSilenceMillis = 1000)
            cluster.runUntil(3.seconds)
            val leader = cluster.nodes.values.single { it.holdsMajority }
            val lost = cluster.nodes.values.first { it !== leader }
            cluster.crash(lost)
            val results = ArrayList<ProposalResult>()

            fun replaceBy(id: String) {
                val address = MemberAddress(MemberId(id), lost.address.address)
                val request = MembershipRequest(MembershipAction.REPLACE, address.member, address.address, lost.id)
                cluster.change(leader, request) { results += it }
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
    inner class `a leader that was cut off` {
        @Test
        fun `loses its majority and steps down, and another leads`() {
            run(3)
            val old = leader()
            cut(old)
            run(3)
            assertFalse(old.holdsMajority)
            assertTrue(old.core?.role != Role.LEADER)
            assertTrue(leader() !== old)
        }
    }

    @Nested
    inner class `three founding members` {
        @Test
        fun `stay inactive until all were seen`() {
            val last = cluster.nodes.values.last()
            cluster.crash(last)
            run(10)
            assertTrue(cluster.nodes.values.none { it.holdsMajority })
            cluster.start(last)
            run(3)
            leader()
        }
    }

    @Nested
    inner class `many proposals in one batch` {
        @Test
        fun `share one write and one request to each member`() {
            run(3)
            val leader = leader()
            val core = checkNotNull(leader.core)
            repeat(100) {
                cluster.checker.call("c$it", cluster.now)
                core.onPropose(it + 1_000_000L, "c$it")
            }
            val output = core.take(leader.time)
            assertEquals(1, output.writes.size)
            assertEquals(2, output.atOnce.size)
        }
    }

    @Nested
    inner class `a new leader with records of an older term` {
        private val peer = address("b")
        private val members = Membership(1, listOf(address("a"), peer, address("c")), emptyList(), emptyList())
        private val stored =
            StoredState(
                VoteState(MemberId("a"), term = 3, stage = FoundingStage.ACTIVE),
                null,
                listOf(
                    LogRecord(1, 0, RecordKind.MEMBERSHIP, WireJson.encodeToString(members)),
                    LogRecord(2, 2, RecordKind.COMMAND, "x".repeat(LONG_COMMAND)),
                ),
            )
        private val core = RaftCore(address("a"), members.voters, false, LogSettings(), ListMachine(), stored, Random(SEED), 0.seconds)

        private fun sent(output: Output) =
            (output.atOnce + output.afterSync)
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
            return sent(core.take(2.seconds))
        }

        private fun grant(requests: List<PeerRequest>): List<PeerRequest> {
            val response = VoteResponse(4, granted = true, stage = FoundingStage.ACTIVE)
            core.onResponse(2.seconds, peer, requests.single(), PeerResponse.Vote(response))
            return sent(core.take(2.seconds).also { core.onSynced(it.number) })
        }

        @Test
        fun `sends none to a voter that holds nothing`() {
            core.onTick(2.seconds)
            val first = grant(grant(sent(core.take(2.seconds))))
            assertEquals(emptyList(), answer(first.single(), accepted = false, lastIndex = 0))
            core.onTick(2.5.seconds)
            val next = assertIs<PeerRequest.Append>(sent(core.take(2.5.seconds)).single())
            assertEquals(emptyList(), next.body.records)
        }

        @Test
        fun `commits them only with a record of its own term`() {
            core.onTick(2.seconds)
            val first = grant(grant(sent(core.take(2.seconds))))
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
                VoteState(MemberId("a"), term = 1, stage = FoundingStage.ACTIVE),
                null,
                listOf(old, new).map { LogRecord(it.index, it.index - 1, RecordKind.MEMBERSHIP, WireJson.encodeToString(it)) },
            )
        private val core = RaftCore(address("a"), old.voters, false, LogSettings(), ListMachine(), stored, Random(SEED), 0.seconds)

        private fun trials() = core.take(2.seconds).afterSync.filterIsInstance<Effect.Send>()

        private fun grant(trial: Effect.Send) {
            val response = VoteResponse(1, granted = true, stage = FoundingStage.ACTIVE)
            core.onResponse(2.seconds, trial.to, trial.request, PeerResponse.Vote(response))
        }

        @Test
        fun `needs the old voters too for an election`() {
            core.onTick(2.seconds)
            val trials = trials().associateBy { it.to.member.value }
            assertEquals(setOf("b", "c", "d"), trials.keys)
            grant(trials.getValue("d"))
            assertEquals(1, core.term)
            grant(trials.getValue("b"))
            assertEquals(2, core.term)
        }
    }

    @Nested
    inner class `a retired member` {
        private val members = Membership(5, listOf("a", "b", "d").map(::address), emptyList(), listOf(MemberId("c")))
        private val stored =
            StoredState(VoteState(MemberId("a"), 1, null, FoundingStage.ACTIVE), StoredSnapshot(6, 1, members, ""), emptyList())
        private val core = RaftCore(address("a"), members.voters, false, LogSettings(), ListMachine(), stored, Random(SEED), 0.seconds)

        private fun answer(request: PeerRequest): PeerResponse {
            core.onRequest(2.seconds, 1, request)
            val reply = core.take(2.seconds).afterSync.single()
            return assertIs<Effect.Reply>(reply).response
        }

        @Test
        fun `gets no vote, no acknowledgement, and changes no term`() {
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
        /** Longer than what fits into one request with a further record (characters). */
        const val LONG_COMMAND = 1_100_000

        const val SEED = 7L
        const val LOSSES = 40
        const val CHANGES = 300
    }
}
