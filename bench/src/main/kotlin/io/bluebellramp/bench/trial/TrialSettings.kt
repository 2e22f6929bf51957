package io.bluebellramp.bench.trial

import io.bluebellramp.bench.JobPlan
import io.bluebellramp.bench.SlotsFrom
import io.bluebellramp.bench.Workload
import io.bluebellramp.bench.WorkloadSettings
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** What goes on beside the load. */
internal enum class TrialScenario {
    PLAIN,
    BURSTS,
    CANCELS,
    FAILING,
    STRAGGLER,
    ZONE,
}

/** One trial. */
internal data class TrialSettings(
    val site: TrialSite,
    val load: Double,
    val entries: Int,
    val scenario: TrialScenario,
    val length: Duration,
    val seed: Long,
    val tuning: TrialTuning,
) {
    /** When the zone leaves, or half of the jobs are cancelled. */
    val changeAt: Duration get() = length / 3

    /** When the zone returns. */
    val returnAt: Duration get() = length * 2 / 3

    /** Slots outside the zone that leaves. */
    val remainingSlots: Int get() = (0 until site.executors).count { site.zoneOf(it) != LEAVING_ZONE } * site.slots

    /** The slots that a scheduler without faults has. */
    fun slots(): List<SlotsFrom> {
        val all = SlotsFrom(at = Duration.ZERO, slots = site.allSlots)
        if (scenario != TrialScenario.ZONE) return listOf(all)
        return listOf(all, SlotsFrom(at = changeAt, slots = remainingSlots), SlotsFrom(at = returnAt, slots = site.allSlots))
    }

    /** The jobs that arrive. */
    fun jobs(): List<JobPlan> =
        Workload(
            WorkloadSettings(
                load = load,
                slots = site.allSlots,
                length = length,
                seed = seed,
                burstEvery = if (scenario == TrialScenario.BURSTS) BURST_EVERY else null,
            ),
        ).jobs()

    companion object {
        /** The zone that leaves and returns. */
        const val LEAVING_ZONE = 0
        private val BURST_EVERY = 20.seconds
    }
}

/**
 * Numbers that a trial may vary.
 *
 * @property prefetch places in the short queue of an agent
 * @property newsPeriod time between reports of changed demand
 * @property lateFactor multiple of its ideal response after which a job is late
 * @property lateShare share of the starts for late jobs
 */
internal data class TrialTuning(
    val prefetch: Int,
    val newsPeriod: Duration,
    val lateFactor: Double,
    val lateShare: Double,
)
