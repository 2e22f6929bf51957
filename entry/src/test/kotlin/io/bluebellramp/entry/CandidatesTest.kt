package io.bluebellramp.entry

import io.bluebellramp.core.TargetId
import io.bluebellramp.core.ZoneId
import io.bluebellramp.placement.CreditedTarget
import kotlin.test.Test
import kotlin.test.assertEquals

/** What a placement line shows of the targets that it could choose. */
class CandidatesTest {
    @Test
    fun `shows all of a few`() {
        val targets = List(Candidates.SHOWN) { target(it, running = it) }
        assertEquals(targets, Candidates.of(targets).shown)
    }

    @Test
    fun `shows a bounded number of those with the fewest running tasks and counts all`() {
        val candidates = Candidates.of(List(470) { target(it, running = if (it < 400) 3 else 1) })
        assertEquals(470, candidates.count)
        assertEquals((400..407).map { "target-$it" }, candidates.shown.map { it.target.value })
    }

    private fun target(
        index: Int,
        running: Int,
    ) = CreditedTarget(TargetId("target-$index"), ZoneId("bergen-a"), credits = 8, running = running)
}
