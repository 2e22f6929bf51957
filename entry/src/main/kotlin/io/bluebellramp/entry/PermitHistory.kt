package io.bluebellramp.entry

import io.bluebellramp.core.IncarnationId
import io.bluebellramp.core.Revision
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Remembers the permits that were passed on and may still be alive, to report the lowest revision among them.
 *
 * A permit is gone once it ran out or once its agent reported a greater revision, because an agent never goes back.
 */
internal class PermitHistory {
    private class Passed(
        val revision: Revision,
        var end: Duration,
    )

    private val permits = HashMap<IncarnationId, ArrayList<Passed>>()

    /** Notes a permit for [agent] that may live until [end]. */
    fun add(
        agent: IncarnationId,
        revision: Revision,
        end: Duration,
    ) {
        val passed = permits.getOrPut(agent) { ArrayList() }
        val known = passed.firstOrNull { it.revision == revision }
        if (known == null) passed += Passed(revision, end + MARGIN) else known.end = maxOf(known.end, end + MARGIN)
    }

    /** Notes that [agent] has a permit of [revision]. */
    fun acknowledge(
        agent: IncarnationId,
        revision: Revision,
    ) {
        permits[agent]?.removeIf { it.revision < revision }
    }

    /** The lowest revision of a permit that may be alive, or [own] if there is none. */
    fun oldest(
        own: Revision,
        now: Duration,
    ): Revision {
        permits.values.forEach { passed -> passed.removeIf { it.end <= now } }
        permits.values.removeIf { it.isEmpty() }
        return permits.values
            .flatten()
            .minOfOrNull { it.revision } ?: own
    }

    private companion object {
        /** Covers the rounding of permit lives and the drift between two clocks over one permit. */
        val MARGIN = 10.milliseconds
    }
}
