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
    private fun holder(incarnation: String) = ClaimHolder(EntryId("e"), IncarnationId(incarnation), Address("127.0.0.1:1"))

    private val granted = ClaimVerdict(granted = true)

    private fun held(incarnation: String) = ClaimVerdict(granted = false, holder = holder(incarnation), digest = "d")

    private fun heldBy(incarnation: String) = ClaimResult.Held(holder(incarnation), "d")

    @Nested
    inner class `A claim of incarnation m at three members` {
        private val cases =
            listOf(
                listOf(granted) to null,
                listOf(granted, granted) to ClaimResult.Granted,
                listOf(granted, null, granted) to ClaimResult.Granted,
                listOf(null, null) to null,
                listOf(null, null, null) to ClaimResult.Unavailable,
                listOf(granted, null, null) to ClaimResult.Unavailable,
                listOf(held("a"), held("a")) to heldBy("a"),
                listOf(granted, held("a"), null) to heldBy("a"),
                listOf(granted, held("z"), null) to ClaimResult.Split(heldBy("z")),
                listOf(granted, held("z"), held("a")) to heldBy("a"),
                listOf(granted, held("y"), held("z")) to ClaimResult.Split(heldBy("y")),
                listOf(null, held("z"), null) to heldBy("z"),
                List(3) { ClaimVerdict(granted = false) } to ClaimResult.Unavailable,
            )

        @Test
        fun `needs a majority, and yields to a lower incarnation if the votes are split`() =
            cases.forEach { (verdicts, expected) ->
                val tally = ClaimTally(voters = 3, self = IncarnationId("m"))
                verdicts.forEach(tally::add)
                assertEquals(expected, tally.result(), "$verdicts")
            }
    }
}
