package io.bluebellramp.jobs

import io.bluebellramp.core.JobId
import io.bluebellramp.messages.Queue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * A best-effort job. It is not stored, and its caller gets the answer when it ends.
 *
 * @property timeout how long the caller waits for the answer
 */
class JobRequest(
    val id: JobId,
    val queue: Queue,
    val spec: String,
    val steps: List<StepRequest>,
    val timeout: Duration,
) {
    /** Estimated run time of the longest path through the dependent steps. */
    val criticalPath: Duration =
        steps
            .foldIndexed(ArrayList<Duration>()) { _, ends, step ->
                ends.apply { add((step.dependsOn.maxOfOrNull { this[it] } ?: Duration.ZERO) + step.estimate) }
            }.maxOrNull() ?: Duration.ZERO

    /** Estimated run time of the longest path through the steps that depend on each step, by step. */
    private val pathAfter: List<Duration> =
        steps.indices
            .reversed()
            .fold(HashMap<Int, Duration>()) { paths, step ->
                val dependents = steps.indices.filter { step in steps[it].dependsOn }
                paths.apply { put(step, dependents.maxOfOrNull { getValue(it) + steps[it].estimate } ?: Duration.ZERO) }
            }.let { paths -> steps.indices.map { paths.getValue(it) } }

    /** Returns the estimated run time of what must follow [step] before the job is done. */
    fun pathAfter(step: Int): Duration = pathAfter[step]

    /** Estimated processor time of all tasks (core-microseconds). */
    val cpuMicros: Long = steps.sumOf { it.cpuMicros * it.count }

    /** Response time after which an answer is late. */
    val objective: Duration = criticalPath * queue.stretch + queue.allowanceMillis.milliseconds
}

/**
 * One step of a job: [count] tasks with the same resource needs.
 *
 * @property dependsOn indices of earlier steps that must be done before this one starts
 */
class StepRequest(
    val count: Int,
    val milliCpu: Int,
    val memoryMb: Int,
    val estimate: Duration,
    val dependsOn: List<Int> = emptyList(),
) {
    /** Estimated processor time of one task (core-microseconds). */
    val cpuMicros: Long = milliCpu * estimate.inWholeMilliseconds
}

/** The answer to the caller of a job. */
sealed interface JobAnswer {
    /** Every task is done. */
    data object Completed : JobAnswer

    /** A task failed as many times as its queue allows. */
    data object Failed : JobAnswer

    /** No task of the job has started or will start. The caller may retry after [retryAfter]. */
    data class NotRun(
        val reason: String,
        val retryAfter: Duration,
    ) : JobAnswer

    /** At least one task started or may have started, but the job did not complete. */
    data class Unfinished(
        val reason: String,
    ) : JobAnswer
}

/** Receives the answer to a job. */
fun interface Caller {
    /** Called once with the answer. */
    fun answer(answer: JobAnswer)
}
