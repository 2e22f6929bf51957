package io.bluebellramp.jobs.node

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Times that an entry and an agent must agree on. */
internal object LinkTiming {
    /** How often the cores look at the time. */
    val TICK = 10.milliseconds

    /** A frame goes out at least this often. */
    val BEAT_PERIOD = 120.milliseconds

    /** A link without a frame for this long is taken for lost, and the agent ends the tasks that came on it. */
    val SILENCE = 500.milliseconds

    /** How long the runs of an agent go on without it. */
    val LEASE = 650.milliseconds

    /**
     * Time after the last frame until everything that was dispatched on a link has ended: the agent notices the silence and stops, or its
     * leases run out on a clock that is 2% slow. The rest is for the delay of the last frame and for processes short of processor time.
     */
    val LOST_RUN_LIFE = maxOf(SILENCE, LEASE * 1.02) + 350.milliseconds

    /** How often reports of room go out at most. */
    val ROOM_PERIOD = 25.milliseconds

    /** Time that an answer under way needs to be written out before a process ends. */
    val LAST_WRITES = 100.milliseconds

    /** Part of the time to stop that runs get to end by themselves. */
    const val STOP_SHARE: Double = 0.85

    fun share(
        whole: Duration,
        part: Double,
    ): Duration = whole * part
}
