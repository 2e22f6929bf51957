package io.bluebellramp.jobs.node

import kotlin.time.Duration.Companion.milliseconds

/** Timing of the links between entries and agents. Both sides and the simulations use the same values. */
object LinkTiming {
    /** Period of the timer that drives the state machines. */
    val TICK = 20.milliseconds

    /** The same at an agent without runs whose target answers. Half of [HEARTBEAT_PERIOD], so that heartbeats are on time. */
    val IDLE_TICK = 60.milliseconds

    /** Each side sends a frame at least this often. */
    val HEARTBEAT_PERIOD = 120.milliseconds

    /** A link without a received frame for this long is lost. The agent then stops the tasks that were dispatched on it. */
    val LINK_TIMEOUT = 500.milliseconds

    /** Time for which the runs of an agent continue without it. */
    val RUN_LEASE = 650.milliseconds

    /**
     * Time from the last frame received by the entry until every run dispatched on a lost link has ended. If only the direction to the
     * entry fails, the agent still receives frames until the entry detects the loss after [LINK_TIMEOUT], and itself detects it another
     * [LINK_TIMEOUT] later. It then stops the runs. Those that it cannot stop end with their leases ([LEASE_AFTER_CONTACT]).
     */
    val LOST_LINK_RUN_TIMEOUT = LINK_TIMEOUT * 2 + 200.milliseconds

    /**
     * Longest time from when the agent sent a frame that the entry received until the end of any lease of the runs dispatched by that entry, which begins
     * to count [LOST_LINK_RUN_TIMEOUT] no earlier. The margin covers the end of the runs, which the platform limits to 50 ms, and clocks that
     * differ by 2%.
     */
    val LEASE_AFTER_CONTACT = LOST_LINK_RUN_TIMEOUT - 100.milliseconds

    /** Shortest time between two capacity reports without urgent outcomes. */
    val MIN_REPORT_INTERVAL = 100.milliseconds
}
