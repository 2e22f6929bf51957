package io.bluebellramp.replication

import io.bluebellramp.core.MemberId
import io.bluebellramp.core.WireJson
import io.bluebellramp.messages.AppendResponse
import io.bluebellramp.messages.LogRecord
import io.bluebellramp.messages.Membership
import io.bluebellramp.messages.RecordKind
import io.bluebellramp.messages.VoteResponse
import org.junit.jupiter.api.Nested
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue
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

    private companion object {
        /** Longer than what fits into one request with a further record (characters). */
        const val LONG_COMMAND = 1_100_000

        const val SEED = 7L
    }
}
