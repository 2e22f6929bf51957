package io.bluebellramp.entry

import io.bluebellramp.core.TargetId
import io.bluebellramp.core.ZoneId
import io.bluebellramp.placement.CreditedTarget
import kotlin.test.Test
import kotlin.test.assertEquals

/** The candidates shown in the log line of a placement. */
class PlacementCandidatesTest {
    @Test
    fun `shows all candidates up to the limit`() {
        val targets = List(PlacementCandidates.MAX_SHOWN) { target(it, running = it) }
        assertEquals(targets, PlacementCandidates.of(targets).shown)
    }

    @Test
    fun `shows a bounded number of candidates with the fewest running tasks, and the total`() {
        val candidates = PlacementCandidates.of(List(470) { target(it, running = if (it < 400) 3 else 1) })
        assertEquals(470, candidates.total)
        assertEquals((400..407).map { "target-$it" }, candidates.shown.map { it.target.value })
    }

    private fun target(
        index: Int,
        running: Int,
    ) = CreditedTarget(TargetId("target-$index"), ZoneId("bergen-a"), credits = 8, running = running)
}
