package io.bluebellramp.bench.trial

/** A dispatcher under trial. */
internal interface TrialSystem {
    /** A job reaches its entry. */
    fun submit(job: TrialJob)

    /** A cancellation of a job reaches its entry. */
    fun cancel(job: TrialJob)

    /** A zone goes out of service. Running tasks end; nothing starts there. */
    fun zoneOut(zone: Int)

    /** A zone comes back into service. */
    fun zoneIn(zone: Int)
}

/** What a system under trial is built from. */
internal class TrialWorld(
    val settings: TrialSettings,
    val time: VirtualTime,
    val tally: TrialTally,
    val executors: List<TrialExecutor>,
    val answer: (TrialJob) -> Unit,
) {
    val site get() = settings.site

    /** True while jobs arrive or run. */
    var busy = true

    /** Notes the end of a task, and answers its job if that was the last. Returns true if the job is over. */
    fun taskEnded(
        job: TrialJob,
        failed: Boolean,
    ): Boolean {
        job.left--
        if (failed) job.stopped = true
        if (job.left == 0 && !job.stopped) answer(job)
        return job.left == 0 || job.stopped
    }
}
