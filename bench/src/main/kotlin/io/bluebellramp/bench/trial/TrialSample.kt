package io.bluebellramp.bench.trial

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

/** What one run of a trial gave. */
internal class TrialSample(
    val settings: TrialSettings,
    private val jobs: List<TrialJob>,
    private val ideal: List<Duration>,
    val tally: TrialTally,
) {
    /** Response over the ideal response, of each complete job. */
    fun slowdowns(): List<Double> = complete().map { slowdown(it) }

    /** The same of the wide jobs. */
    fun wideSlowdowns(): List<Double> = complete().filter { it.plan.tasks.size >= WIDE }.map { slowdown(it) }

    /** Response of each complete job (ms). */
    fun responses(): List<Double> = complete().map { response(it).toDouble(DurationUnit.MILLISECONDS) }

    /** Work done while a zone was out and while it came back, over what the remaining slots allow. */
    fun zoneShare(): Double {
        val out = share(settings.changeAt + SETTLE, settings.returnAt, slots = settings.remainingSlots)
        val back = share(settings.returnAt, settings.returnAt + SETTLE, slots = settings.site.allSlots)
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

    private fun complete() = jobs.filter { it.answered != null }

    private fun response(job: TrialJob): Duration = checkNotNull(job.answered) - job.plan.at

    private fun slowdown(job: TrialJob): Double = response(job) / ideal[job.plan.index]

    private companion object {
        const val WIDE = 200

        /** Time until the tasks that ran in a leaving zone have ended. */
        val SETTLE = 5.seconds
    }
}
