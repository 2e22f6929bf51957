package io.bluebellramp.bench.trial

import io.bluebellramp.bench.JobPlan
import io.bluebellramp.bench.SlotCountChange
import io.bluebellramp.bench.Workload
import io.bluebellramp.bench.WorkloadSettings
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Condition of the system or its load during a trial. */
internal enum class TrialScenario {
    PLAIN,
    BURSTS,
    CANCELS,
    FAILING,
    STRAGGLER,
    ZONE,
}

/** Settings of one trial. */
internal data class TrialSettings(
    val site: TrialSite,
    val load: Double,
    val entries: Int,
    val scenario: TrialScenario,
    val length: Duration,
    val seed: Long,
    val tuning: TrialTuning,
) {
    /** When the zone goes out of service, or half of the open jobs are cancelled. */
    val changeAt: Duration get() = length / 3

    /** When the zone returns to service. */
    val returnAt: Duration get() = length * 2 / 3

    /** Number of slots outside the zone that goes out of service. */
    val remainingSlots: Int get() = (0 until site.executors).count { site.zoneOf(it) != LEAVING_ZONE } * site.slots

    /** Number of slots over time that the ideal schedule may use. */
    fun slots(): List<SlotCountChange> {
        val all = SlotCountChange(at = Duration.ZERO, slots = site.allSlots)
        if (scenario != TrialScenario.ZONE) return listOf(all)
        return listOf(all, SlotCountChange(at = changeAt, slots = remainingSlots), SlotCountChange(at = returnAt, slots = site.allSlots))
    }

    /** Generates the jobs of the trial. */
    fun jobs(): List<JobPlan> =
        Workload(
            WorkloadSettings(
                load = load,
                slots = site.allSlots,
                length = length,
                seed = seed,
                burstEvery = if (scenario == TrialScenario.BURSTS) BURST_PERIOD else null,
            ),
        ).jobs()

    companion object {
        /** The zone that goes out of service and returns. */
        const val LEAVING_ZONE = 0
        private val BURST_PERIOD = 20.seconds
    }
}

/**
 * Policy parameters that a trial may vary.
 *
 * @property prefetch tasks that an agent may queue beyond its slots
 * @property demandReportPeriod time between reports of changed demand
 * @property lateFactor multiple of its ideal response time after which a job is late
 * @property lateShare share of the task starts given to late jobs
 */
internal data class TrialTuning(
    val prefetch: Int,
    val demandReportPeriod: Duration,
    val lateFactor: Double,
    val lateShare: Double,
)
