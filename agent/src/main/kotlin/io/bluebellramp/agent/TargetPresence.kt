package io.bluebellramp.agent

import io.bluebellramp.core.Clock
import io.bluebellramp.messages.TargetAnnouncement
import io.bluebellramp.messages.TargetState
import kotlin.time.Duration

/** Knows whether the target is there. No I/O; confined to the coroutine of the core. */
internal class TargetPresence(
    private val clock: Clock,
    private val options: AgentOptions,
) {
    private var announcedAt = Duration.ZERO
    private var left = false

    /** The last announcement, or null before the first. */
    var announcement: TargetAnnouncement? = null
        private set

    /** Whether the target is there at this moment. */
    val isPresent: Boolean get() = announcement != null && !left && clock.monotonic() - announcedAt < options.announcementLife

    /** What the entries should know, or null before the first announcement. */
    val state: TargetState? get() = announcement?.let { TargetState(it.target, it.service, isPresent) }

    /** Takes an announcement. */
    fun announced(announcement: TargetAnnouncement) {
        this.announcement = announcement
        announcedAt = clock.monotonic()
        left = false
    }

    /** Takes the word of the target that it leaves. */
    fun left() {
        left = true
    }
}
