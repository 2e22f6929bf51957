package io.bluebellramp.entry

import io.bluebellramp.messages.Answer
import io.bluebellramp.messages.ErrorBody
import io.bluebellramp.messages.TaskResult
import java.util.BitSet
import kotlin.time.Duration

/** The state of a submission at an entry. */
internal enum class SubmissionPhase {
    /** The claim is being decided. No task may start. */
    CLAIMING,

    /** Another entry owns it, and this entry waits for the answer. */
    AWAITING_OWNER,

    /** This entry owns it, and its tasks wait or run. */
    OPEN,

    /** No more tasks start, and the outcomes of dispatched attempts are being collected. */
    CLOSING,

    /** It has its final answer. */
    ANSWERED,
}

/** A submission at this entry and the state of its tasks. */
internal class Submission(
    val spec: SubmissionSpec,
    val arrived: Duration,
    val deadline: Duration,
    budget: MemoryBudget,
) {
    /** Memory reserved until the submission has its answer. */
    val memoryReservation = MemoryBudget.Reservation(budget).apply { add(spec.estimatedBytes()) }

    val id get() = spec.id
    val size get() = spec.tasks.size
    var phase = SubmissionPhase.CLAIMING

    /** True while the claim is known to be held. After the lease expired it must be confirmed again. */
    var isConfirmed = true
    var isReconfirming = false

    /** True once its owner is considered dead. From then on this entry never starts any of its tasks and never releases a claim on it. */
    var isTakingOver = false

    /** Why it must be refused as soon as its claim is granted, for example because it was cancelled before. */
    var earlyRefusal: ErrorBody? = null
    var closeReason: ErrorBody? = null
    var closingSince = Duration.ZERO
    var hasInquired = false

    /** The answer that is held back until the claim is confirmed. */
    var unconfirmedAnswer: Answer? = null

    val attemptNumbers = IntArray(size)
    val outstandingAttempts = HashMap<Int, Attempt>()
    val retryCounts = HashMap<Int, Int>()
    private val results = arrayOfNulls<String>(size)
    private val done = BitSet(size)
    private val started = BitSet(size)
    private val unknown = BitSet(size)

    fun markDone(
        task: Int,
        result: String,
    ) {
        results[task] = result
        memoryReservation.add(result.length.toLong())
        done.set(task)
        markStarted(task)
    }

    fun markStarted(task: Int) {
        started.set(task)
        unknown.clear(task)
    }

    fun markUnknown(task: Int) {
        if (!started[task]) unknown.set(task)
    }

    fun isStarted(task: Int) = started[task]

    /** Number of tasks whose result has arrived. */
    val doneTasks get() = done.cardinality()

    val isComplete get() = doneTasks == size

    /** True if it is known of every attempt whether it started. */
    val isSettled get() = outstandingAttempts.keys.all { started[it] } && unknown.isEmpty

    /** Number of tasks that started, or null if unknown. */
    val startedTasks: Int? get() = if (isSettled) started.cardinality() else null

    fun taskResults(): List<TaskResult> = spec.tasks.mapIndexed { i, task -> TaskResult(id = task.id, result = results[i].orEmpty()) }
}
