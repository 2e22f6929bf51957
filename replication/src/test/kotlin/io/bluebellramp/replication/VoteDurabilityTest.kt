package io.bluebellramp.replication

import io.bluebellramp.core.MemberId
import io.bluebellramp.messages.Membership
import io.bluebellramp.messages.VoteRequest
import org.junit.jupiter.api.Nested
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.seconds

class VoteDurabilityTest {
    private val members = Membership(1, listOf("a", "b", "c").map(::address), emptyList(), emptyList())
    private val disk =
        SimulatedDisk().apply {
            beginWrite(
                listOf(
                    StorageWrite.Vote(VoteState(MemberId("a"), 1, null, BootstrapStage.ACTIVE)),
                    StorageWrite.Snapshot(StoredSnapshot(3, 1, members, ""), emptyList()),
                ),
            )
            sync()
        }

    private fun core() = RaftCore(address("a"), members.voters, false, LogSettings(), ListStateMachine(), disk.state, Random(1), 0.seconds)

    private fun requestVote(
        core: RaftCore,
        candidate: String,
    ): Output {
        core.onRequest(2.seconds, 1, PeerRequest.Vote(VoteRequest(5, MemberId(candidate), 3, 1, preVote = false)))
        return core.takeOutput(2.seconds)
    }

    private fun isGranted(output: Output): Boolean {
        assertTrue(output.immediateEffects.isEmpty())
        val reply = assertIs<Effect.Reply>(output.effectsAfterSync.single())
        return assertIs<PeerResponse.Vote>(reply.response).body.granted
    }

    @Nested
    inner class `a member that restarts after it voted` {
        @Test
        fun `does not vote for another candidate in that term`() {
            val output = requestVote(core(), "b")
            assertTrue(isGranted(output))
            disk.beginWrite(output.writes)
            disk.sync()
            val restarted = core()
            assertEquals(false, isGranted(requestVote(restarted, "c")))
            assertEquals(true, isGranted(requestVote(restarted, "b")))
        }
    }
}
