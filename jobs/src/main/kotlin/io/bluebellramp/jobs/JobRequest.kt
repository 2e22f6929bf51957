package io.bluebellramp.jobs

import io.bluebellramp.core.JobId
import io.bluebellramp.messages.Queue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * A best-effort job: nothing of it is stored, and its answer comes when it has ended.
 *
 * @property patience how long the caller waits for the answer
 */
class JobRequest(
    val id: JobId,
    val queue: Queue,
    val spec: String,
    val steps: List<StepRequest>,
    val patience: Duration,
) {
    /** Longest chain of estimated run times through the steps. */
    val chain: Duration =
        steps
            .foldIndexed(ArrayList<Duration>()) { _, ends, step ->
                ends.apply { add((step.dependsOn.maxOfOrNull { this[it] } ?: Duration.ZERO) + step.estimate) }
            }.maxOrNull() ?: Duration.ZERO

    /** Time after which an answer is late. */
    val objective: Duration = chain * queue.stretch + queue.allowanceMillis.milliseconds
}

/**
 * One step of a job: tasks with the same needs.
 *
 * @property dependsOn indexes of earlier steps that must be done first
 */
class StepRequest(
    val count: Int,
    val milliCpu: Int,
    val memoryMb: Int,
    val estimate: Duration,
    val dependsOn: List<Int> = emptyList(),
)

/** What a caller is told about its job. */
sealed interface JobAnswer {
    /** Every task is done. */
    data object Completed : JobAnswer

    /** A task has failed as often as its queue allows. */
    data object Failed : JobAnswer

    /** Nothing of the job has started, and nothing will. The caller may come back after [retryAfter]. */
    data class NotRun(
        val reason: String,
        val retryAfter: Duration,
    ) : JobAnswer

    /** Something of the job has started, and it did not end. Nothing of it runs any more. */
    data class Unfinished(
        val reason: String,
    ) : JobAnswer
}

/** Who waits for the answer to a job. */
fun interface Caller {
    /** Gives the answer; called once. */
    fun answer(answer: JobAnswer)
}
