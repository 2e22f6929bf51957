package io.bluebellramp.jobs

/** What an announcement of a target is to the agent. */
internal enum class Announcement {
    /** There was no target before. */
    FIRST,

    /** A newer announcement of the current life. */
    UPDATED,

    /** An announcement of another life, which may be newer or may have been delayed on its way. */
    UNCONFIRMED,

    /** An older announcement of the current life. */
    OUTDATED,
}

/**
 * Which life of which target is at the address of this agent's target.
 *
 * Announcements may be late, and lives started around a step of the wall clock have no order. So only an answer of the target decides between
 * two lives: an announcement of another life is [UNCONFIRMED][Announcement.UNCONFIRMED] until a call made after it is answered.
 */
internal class TargetIdentity {
    /** The current life as it was last announced, or null while no target is known. */
    var current: TargetDescription? = null
        private set
    private var unconfirmed: TargetDescription? = null

    /** False if the current life answered a call and has not announced itself. Its capacity and service are then those of the former life. */
    var isAnnounced = false
        private set

    /** True once [current] has said that it leaves for good. It ends its runs, but they may go on for a moment. */
    var hasLeft = false
        private set

    /** True while an announcement of another life waits for an answer of the target. */
    val isUnconfirmed: Boolean get() = unconfirmed != null

    /** Processes the announcement [next]. After [Announcement.UNCONFIRMED] the target must be called. */
    fun announced(next: TargetDescription): Announcement {
        val known = current
        return when {
            known == null -> {
                become(next)
                Announcement.FIRST
            }

            known.id != next.id || known.life != next.life -> {
                unconfirmed = next
                Announcement.UNCONFIRMED
            }

            isAnnounced && next.sequence <= known.sequence -> {
                Announcement.OUTDATED
            }

            else -> {
                become(next)
                Announcement.UPDATED
            }
        }
    }

    /**
     * Processes an answer of the target with the id of [current], to a call made after the last unconfirmed announcement. Returns true if
     * another life than [current] answered.
     *
     * @param life the life that answered, or null if the target does not say it; then a later life is believed on its announcement
     */
    fun answered(life: Long?): Boolean {
        val known = checkNotNull(current)
        val announced = unconfirmed?.takeIf { it.id == known.id }
        unconfirmed = null
        val actual = life ?: maxOf(known.life, announced?.life ?: known.life)
        if (actual == known.life) return false
        if (announced?.life == actual) become(announced) else becomeUnannounced(known.copy(life = actual))
        return true
    }

    /** Records that [current] leaves for good. */
    fun leaves() {
        hasLeft = true
    }

    /** Records that [current] is gone. An unconfirmed announcement of a target with another id is now believed. */
    fun gone() {
        val next = unconfirmed?.takeIf { it.id != current?.id }
        if (next != null) return become(next)
        current = null
        unconfirmed = null
        isAnnounced = false
        hasLeft = false
    }

    private fun become(next: TargetDescription) {
        current = next
        unconfirmed = null
        isAnnounced = true
        hasLeft = false
    }

    private fun becomeUnannounced(next: TargetDescription) {
        current = next
        isAnnounced = false
        hasLeft = false
    }
}
