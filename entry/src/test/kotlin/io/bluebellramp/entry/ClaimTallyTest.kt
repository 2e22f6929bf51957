package io.bluebellramp.entry

import io.bluebellramp.core.Address
import io.bluebellramp.core.EntryId
import io.bluebellramp.core.IncarnationId
import io.bluebellramp.messages.ClaimHolder
import io.bluebellramp.messages.ClaimVerdict
import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertEquals

class ClaimTallyTest {
    private fun holder(run: String) = ClaimHolder(EntryId("e"), IncarnationId(run), Address("127.0.0.1:1"))

    private val yes = ClaimVerdict(granted = true)

    private fun held(run: String) = ClaimVerdict(granted = false, holder = holder(run), digest = "d")

    private fun heldBy(run: String) = ClaimResult.Held(holder(run), "d")

    @Nested
    inner class `A claim of run m at three members` {
        private val cases =
            listOf(
                listOf(yes) to null,
                listOf(yes, yes) to ClaimResult.Granted,
                listOf(yes, null, yes) to ClaimResult.Granted,
                listOf(null, null) to null,
                listOf(null, null, null) to ClaimResult.Unavailable,
                listOf(yes, null, null) to ClaimResult.Unavailable,
                listOf(held("a"), held("a")) to heldBy("a"),
                listOf(yes, held("a"), null) to heldBy("a"),
                listOf(yes, held("z"), null) to ClaimResult.Split(heldBy("z")),
                listOf(yes, held("z"), held("a")) to heldBy("a"),
                listOf(yes, held("y"), held("z")) to ClaimResult.Split(heldBy("y")),
                listOf(null, held("z"), null) to heldBy("z"),
                List(3) { ClaimVerdict(granted = false) } to ClaimResult.Unavailable,
            )

        @Test
        fun `needs a majority, and yields to a lesser run when split`() =
            cases.forEach { (verdicts, expected) ->
                val tally = ClaimTally(voters = 3, self = IncarnationId("m"))
                verdicts.forEach(tally::add)
                assertEquals(expected, tally.result(), "$verdicts")
            }
    }
}
