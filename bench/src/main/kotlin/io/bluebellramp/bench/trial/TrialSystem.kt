package io.bluebellramp.bench.trial

/** Simulated dispatcher under test. */
internal interface TrialSystem {
    /** Called when a job reaches its entry. */
    fun submit(job: TrialJob)

    /** Called when the cancellation of a job reaches its entry. */
    fun cancel(job: TrialJob)

    /** Takes a zone out of service. Running tasks continue to their end, and no task starts there. */
    fun zoneOut(zone: Int)

    /** Returns a zone to service. */
    fun zoneIn(zone: Int)
}

/** State and services shared by the parts of a simulated system. */
internal class TrialContext(
    val settings: TrialSettings,
    val time: VirtualTimeScheduler,
    val tally: TrialTally,
    val executors: List<TrialExecutor>,
    val answer: (TrialJob) -> Unit,
) {
    val site get() = settings.site

    /** Whether jobs still arrive or run. */
    var isRunning = true

    /** Records the end of a task and answers its job if it was the last one. Returns whether the job is over. */
    fun taskEnded(
        job: TrialJob,
        failed: Boolean,
    ): Boolean {
        job.remainingTasks--
        if (failed) job.isStopped = true
        if (job.remainingTasks == 0 && !job.isStopped) answer(job)
        return job.remainingTasks == 0 || job.isStopped
    }
}
