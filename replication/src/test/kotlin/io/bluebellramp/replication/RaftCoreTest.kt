package io.bluebellramp.replication

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

    private companion object {
        const val SEED = 7L
    }
}
