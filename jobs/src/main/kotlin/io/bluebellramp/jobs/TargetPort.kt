package io.bluebellramp.jobs

import io.bluebellramp.core.JobId
import io.bluebellramp.core.ServiceId
import io.bluebellramp.core.TargetId
import kotlin.time.Duration

/** Names a task within the whole system. */
data class TaskKey(
    val job: JobId,
    val step: Int,
    val index: Int,
)

/** A run of a task at a target. Runs of one task at one target have rising numbers. */
data class RunKey(
    val task: TaskKey,
    val number: Int,
)

/** What a target tells about itself.
 *
 * @property life tells one life of the target from the next; a greater one is newer
 * @property sequence rises with each message of one life
 */
data class TargetNews(
    val id: TargetId,
    val life: Long,
    val sequence: Long,
    val service: ServiceId,
    val isDraining: Boolean,
    val milliCpu: Int,
    val memoryMb: Int,
    val address: String,
)

/** How a run ended. */
enum class RunEnd { DONE, FAILED, STOPPED, LAPSED }

/** An end as the target lists it. Numbers rise by one in each life of the target. */
data class ListedEnd(
    val number: Long,
    val run: RunKey,
    val end: RunEnd,
)

/** The answer of a target to an order to start. */
sealed interface StartResult {
    /** The run is there. */
    data object Started : StartResult

    /** The target has done nothing, for [refusal]. */
    data class Refused(
        val refusal: StartRefusal,
    ) : StartResult

    /** No answer came: the target may have carried it out, or may still do so. */
    data object NoAnswer : StartResult
}

/** Why a target did not start a run. */
enum class StartRefusal {
    /** A process with a higher fence has given it orders. */
    FENCED,

    /** A run of the task with this number or a higher one was there. */
    OLD_NUMBER,

    /** The lease had run out when the order came. */
    LATE,

    /** The target has no room for it. */
    NO_ROOM,

    /** The target is unwell. */
    UNWELL,

    /** Another target is at this address now. */
    OTHER_TARGET,

    /** The target cannot read the order. */
    UNREADABLE,

    /** The target could not be reached; the order was not sent. */
    UNREACHABLE,
}

/** What a target answers to a lease. */
sealed interface LeaseResult {
    /**
     * @property clock the target's steady clock when it answered
     * @property running the runs that are there, with how far each is (0 to 100)
     * @property ended ends that were not acknowledged yet, oldest first
     */
    data class Listed(
        val life: Long?,
        val clock: Duration,
        val running: Map<RunKey, Int>,
        val ended: List<ListedEnd>,
    ) : LeaseResult

    /** Another target is at this address now. */
    data object OtherTarget : LeaseResult

    /** No answer came in time. */
    data class NoAnswer(
        val reason: String,
    ) : LeaseResult
}

/** An order to start a run. */
class StartOrder(
    val run: RunKey,
    val spec: String,
    val leaseUntil: Duration,
    val fence: Long,
)

/** Gives orders to the target of a VM. Each result comes once, on the thread of the caller. */
interface TargetPort {
    fun start(
        target: TargetId,
        order: StartOrder,
        onResult: (StartResult) -> Unit,
    )

    /** Ends a run; a run that is not there yet is barred. [onResult] gets true if the target answered. */
    fun stop(
        target: TargetId,
        run: RunKey,
        fence: Long,
        onResult: (Boolean) -> Unit,
    )

    /**
     * Extends the lease of all runs to [leaseUntil] on the target's clock, acknowledges ends up to [acknowledged], and asks for what runs
     * and has ended. The target answers when a run ends, [wait] later at the latest.
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
