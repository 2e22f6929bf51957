package io.bluebellramp.bench.trial

import io.bluebellramp.bench.JobPlan
import io.bluebellramp.core.SubmissionId
import kotlin.time.Duration

/** A job in a trial. */
internal class TrialJob(
    val plan: JobPlan,
    val submission: SubmissionId,
    val entry: Int,
) {
    /** Tasks that have not ended. */
    var left = plan.tasks.size

    /** When the client had the answer, or null if the job was not completed. */
    var answered: Duration? = null

    /** True once a task failed or the job was cancelled. */
    var stopped = false
}

/** One task of a job. */
internal class TrialTask(
    val job: TrialJob,
    val index: Int,
) {
    /** How long it runs on an executor of usual speed. */
    val runTime: Duration get() = job.plan.tasks[index]
}
