package io.bluebellramp.jobs.node

import kotlin.time.Duration.Companion.milliseconds

/** Times that an entry and an agent must agree on; a model of the two keeps to them as well. */
object LinkTiming {
    /** How often the cores look at the time. */
    val TICK = 10.milliseconds

    /** A frame goes out at least this often. */
    val BEAT_PERIOD = 120.milliseconds

    /** A link without a frame for this long is taken for lost, and the agent ends the tasks that came on it. */
    val SILENCE = 500.milliseconds

    /** How long the runs of an agent go on without it. */
    val LEASE = 650.milliseconds

    /**
     * Time after the last frame until everything that was dispatched on a link has ended. If only the way back is cut first, the agent
     * hears the entry until the entry notices, and notices its silence as late again; then it stops the runs, or their leases run out. The
     * rest is for the stop (50 ms at most by the platform) and for processes short of processor time.
     */
    val LOST_RUN_LIFE = SILENCE * 2 + 200.milliseconds

    /** How often reports of room go out at most. */
    val ROOM_PERIOD = 25.milliseconds
}
