package io.bluebellramp.agent

import io.bluebellramp.core.Clock
import io.bluebellramp.messages.TargetAnnouncement
import io.bluebellramp.messages.TargetState
import kotlin.time.Duration

/** Tracks whether the target is present. No I/O; confined to the coroutine of the core. */
internal class TargetPresence(
    private val clock: Clock,
    private val options: AgentOptions,
) {
    private var announcedAt = Duration.ZERO
    private var hasLeft = false

    /** The last announcement, or null before the first. */
    var announcement: TargetAnnouncement? = null
        private set

    /** Whether the target is present now. */
    val isPresent: Boolean get() = announcement != null && !hasLeft && clock.monotonic() - announcedAt < options.announcementTtl

    /** The state of the target to report to the entries, or null before the first announcement. */
    val state: TargetState? get() = announcement?.let { TargetState(it.target, it.service, isPresent) }

    /** Handles an announcement of the target. */
    fun onAnnounced(announcement: TargetAnnouncement) {
        this.announcement = announcement
        announcedAt = clock.monotonic()
        hasLeft = false
    }

    /** Handles the report of the target that it is leaving. */
    fun onLeft() {
        hasLeft = true
    }
}
