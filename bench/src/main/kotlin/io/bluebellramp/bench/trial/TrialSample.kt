package io.bluebellramp.bench.trial

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

/** Results of one run of a trial. */
internal class TrialSample(
    val settings: TrialSettings,
    private val jobs: List<TrialJob>,
    private val ideal: List<Duration>,
    val tally: TrialTally,
) {
    /** Response time of each complete job divided by its ideal response time. */
    fun slowdowns(): List<Double> = complete().map { slowdown(it) }

    /** Slowdown of each complete job with at least [WIDE_JOB_TASKS] tasks. */
    fun wideSlowdowns(): List<Double> = complete().filter { it.plan.tasks.size >= WIDE_JOB_TASKS }.map { slowdown(it) }

    /** Response time of each complete job (ms). */
    fun responses(): List<Double> = complete().map { response(it).toDouble(DurationUnit.MILLISECONDS) }

    /** Work done divided by the work that the slots in service allow: the lower value of the time when the zone is out and its return. */
    fun zoneShare(): Double {
        val out = share(settings.changeAt + SETTLE_TIME, settings.returnAt, slots = settings.remainingSlots)
        val back = share(settings.returnAt, settings.returnAt + SETTLE_TIME, slots = settings.site.allSlots)
        return minOf(out, back)
    }

    private fun share(
        from: Duration,
        to: Duration,
        slots: Int,
    ): Double {
        val seconds = from.inWholeSeconds.toInt() until to.inWholeSeconds.toInt()
        val done = seconds.sumOf { tally.doneBySecond.getOrElse(it) { 0.0 } }
        return done / (slots * seconds.count())
    }

    private fun complete() = jobs.filter { it.answeredAt != null }

    private fun response(job: TrialJob): Duration = checkNotNull(job.answeredAt) - job.plan.arrivesAt

    private fun slowdown(job: TrialJob): Double = response(job) / ideal[job.plan.index]

    private companion object {
        const val WIDE_JOB_TASKS = 200

        /** Time for the tasks that run in a zone taken out of service to end. */
        val SETTLE_TIME = 5.seconds
    }
}
