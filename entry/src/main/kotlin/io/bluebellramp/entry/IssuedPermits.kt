package io.bluebellramp.entry

import io.bluebellramp.core.IncarnationId
import io.bluebellramp.core.Revision
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * The permits that this entry issued and that may still be valid, to report the lowest revision among them.
 *
 * A permit is removed when it expires or when its agent reports a greater revision, because an agent never goes back to a lower one.
 */
internal class IssuedPermits {
    private class IssuedPermit(
        val revision: Revision,
        var end: Duration,
    )

    private val permits = HashMap<IncarnationId, ArrayList<IssuedPermit>>()

    /** Notes a permit for [agent] that may live until [end]. */
    fun add(
        agent: IncarnationId,
        revision: Revision,
        end: Duration,
    ) {
        val issued = permits.getOrPut(agent) { ArrayList() }
        val permit = issued.firstOrNull { it.revision == revision }
        if (permit == null) issued += IssuedPermit(revision, end + CLOCK_MARGIN) else permit.end = maxOf(permit.end, end + CLOCK_MARGIN)
    }

    /** Records that [agent] holds a permit of [revision], so that it no longer uses older ones. */
    fun acknowledge(
        agent: IncarnationId,
        revision: Revision,
    ) {
        permits[agent]?.removeIf { it.revision < revision }
    }

    /** Returns the lowest revision of a permit that may be valid, or [default] if there is none. */
    fun oldestRevision(
        default: Revision,
        now: Duration,
    ): Revision {
        permits.values.forEach { issued -> issued.removeIf { it.end <= now } }
        permits.values.removeIf { it.isEmpty() }
        return permits.values
            .flatten()
            .minOfOrNull { it.revision } ?: default
    }

    private companion object {
        /** Covers the rounding of permit durations and the clock drift between entry and agent during one permit. */
        val CLOCK_MARGIN = 10.milliseconds
    }
}
