package io.bluebellramp.bench.trial

import io.bluebellramp.bench.JobPlan
import io.bluebellramp.core.SubmissionId
import kotlin.time.Duration

/** Job of a trial and its state. */
internal class TrialJob(
    val plan: JobPlan,
    val submission: SubmissionId,
    val entry: Int,
) {
    /** Number of tasks that have not ended. */
    var remainingTasks = plan.tasks.size

    /** When the client received the answer, or null if the job was not completed. */
    var answeredAt: Duration? = null

    /** Whether a task failed or the job was cancelled. */
    var isStopped = false
}

/** One task of a job. */
internal class TrialTask(
    val job: TrialJob,
    val index: Int,
) {
    /** Run time on an executor of normal speed. */
    val runTime: Duration get() = job.plan.tasks[index]
}
