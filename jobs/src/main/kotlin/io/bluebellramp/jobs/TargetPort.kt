package io.bluebellramp.jobs

import io.bluebellramp.core.JobId
import io.bluebellramp.core.ServiceId
import io.bluebellramp.core.TargetId
import kotlin.time.Duration

/** Identifies a task within the whole system. */
data class TaskKey(
    val job: JobId,
    val step: Int,
    val index: Int,
)

/** Identifies a run of a task at a target. The runs of one task at one target have rising numbers. */
data class RunKey(
    val task: TaskKey,
    val number: Int,
)

/**
 * The state of a target, as the target announces it.
 *
 * @property life identifies one life of the target, from start to end; a greater number is newer
 * @property sequence rises with each announcement within one life
 * @property kind kind of VM that the target runs on; empty if it is not known
 */
data class TargetDescription(
    val id: TargetId,
    val life: Long,
    val sequence: Long,
    val service: ServiceId,
    val isDraining: Boolean,
    val milliCpu: Int,
    val memoryMb: Int,
    val address: String,
    val kind: String = "",
)

/** How a run ended. */
enum class RunEnd { DONE, FAILED, STOPPED, LAPSED }

/** The end of a run, as listed by the target. [number] rises by one with each end within one life of the target. */
data class ListedEnd(
    val number: Long,
    val run: RunKey,
    val end: RunEnd,
)

/** The answer of a target to an order to start a run. */
sealed interface StartResult {
    /** The run has started. */
    data object Started : StartResult

    /** The target did not start the run because of [refusal]. */
    data class Refused(
        val refusal: StartRefusal,
    ) : StartResult

    /** No answer arrived. The target may have started the run or may still start it. */
    data object NoAnswer : StartResult
}

/** Why a target did not start a run. */
enum class StartRefusal {
    /** The target has received orders with a higher fence. */
    FENCED,

    /** The target has seen a run of the task with this number or a higher one. */
    OLD_NUMBER,

    /** The lease had expired when the order arrived. */
    LATE,

    /** The target has too little free capacity. */
    NO_ROOM,

    /** The target reports that it is unhealthy. */
    UNWELL,

    /** Another target is at this address now. */
    OTHER_TARGET,

    /** The target cannot read the order. */
    UNREADABLE,

    /** The target could not be reached, so the order was not sent. */
    UNREACHABLE,
}

/** The answer of a target to a lease call. */
sealed interface LeaseResult {
    /**
     * The target extended the lease and lists its runs.
     *
     * @property clock the monotonic clock of the target when it answered
     * @property running the current runs with their progress (0 to 100)
     * @property ended the ends that were not acknowledged yet, oldest first
     * @property isComplete false if there may be later ends that did not fit into the answer
     */
    data class RunList(
        val life: Long?,
        val clock: Duration,
        val running: Map<RunKey, Int>,
        val ended: List<ListedEnd>,
        val isComplete: Boolean = true,
    ) : LeaseResult

    /** Another target is at this address now. */
    data object OtherTarget : LeaseResult

    /** No answer arrived in time. */
    data class NoAnswer(
        val reason: String,
    ) : LeaseResult
}

/**
 * An order to start a run.
 *
 * @property leaseUntil end of the lease, on the clock of the target
 * @property fence the target refuses orders with a lower fence than the highest it has received
 */
class StartOrder(
    val run: RunKey,
    val spec: String,
    val leaseUntil: Duration,
    val fence: Long,
)

/** Sends orders to the target of a VM. Each result is delivered once, on the thread of the caller. */
interface TargetPort {
    fun start(
        target: TargetId,
        order: StartOrder,
        onResult: (StartResult) -> Unit,
    )

    /** Stops a run, and keeps it from starting later if it has not started yet. [onResult] gets true if the target answered. */
    fun stop(
        target: TargetId,
        run: RunKey,
        fence: Long,
        onResult: (Boolean) -> Unit,
    )

    /**
     * Extends the lease of all runs to [leaseUntil] on the clock of the target, acknowledges ends up to [acknowledged], and requests the
     * current and ended runs. The target answers when a run ends, or after [wait] at the latest.
     */
    fun lease(
        target: TargetId,
        leaseUntil: Duration?,
        acknowledged: Long,
        fence: Long,
        wait: Duration,
        onResult: (LeaseResult) -> Unit,
    )
}
