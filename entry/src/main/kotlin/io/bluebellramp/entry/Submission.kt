package io.bluebellramp.entry

import io.bluebellramp.messages.Answer
import io.bluebellramp.messages.ErrorBody
import io.bluebellramp.messages.TaskResult
import java.util.BitSet
import kotlin.time.Duration

/** Where a submission stands at an entry. */
internal enum class SubmissionPhase {
    /** Waits for the verdicts of the members. Nothing of it may start. */
    CLAIMING,

    /** Another entry owns it. */
    FOLLOWING,

    /** This entry owns it and its tasks wait or run. */
    OPEN,

    /** Nothing new starts; the attempts in flight are being settled. */
    CLOSING,

    /** It has its final answer. */
    ANSWERED,
}

/** A submission at this entry and what is known of its tasks. */
internal class Submission(
    val new: NewSubmission,
    val arrived: Duration,
    val deadline: Duration,
    budget: MemoryBudget,
) {
    /** What it holds until it has its answer. */
    val memory = MemoryBudget.Share(budget).apply { take(new.bytes()) }

    val id get() = new.id
    val size get() = new.tasks.size
    var phase = SubmissionPhase.CLAIMING

    /** True while the claim is known to be held, which a lapsed lease puts in doubt. */
    var isConfirmed = true
    var isReclaiming = false

    /** True once its owner is given up for dead. From then on this entry never starts anything of it and never releases a claim on it. */
    var isTakingOver = false

    /** Why it is to be ended before its claim is decided. */
    var refusal: ErrorBody? = null
    var closing: ErrorBody? = null
    var closingSince = Duration.ZERO
    var isInquired = false

    /** An answer that waits until the claim is confirmed. */
    var pending: Answer? = null

    val attempts = IntArray(size)
    val outstanding = HashMap<Int, Attempt>()
    val retries = HashMap<Int, Int>()
    private val results = arrayOfNulls<String>(size)
    private val done = BitSet(size)
    private val started = BitSet(size)
    private val unknown = BitSet(size)

    fun complete(
        task: Int,
        result: String,
    ) {
        results[task] = result
        memory.take(result.length.toLong())
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

    /** Tasks of which the result has come. */
    val doneTasks get() = done.cardinality()

    val isComplete get() = doneTasks == size

    /** True if every attempt is settled: each is proved to have started or proved not to. */
    val isSettled get() = outstanding.keys.all { started[it] } && unknown.isEmpty

    /** How many tasks started, or null if that is unknown. */
    val startedTasks: Int? get() = if (isSettled) started.cardinality() else null

    fun taskResults(): List<TaskResult> = new.tasks.mapIndexed { i, task -> TaskResult(id = task.id, result = results[i].orEmpty()) }
}
