package io.bluebellramp.jobs

import kotlin.time.Duration

/** State of a task, as its entry knows it. */
internal sealed interface TaskState {
    /** The task waits at the entry to be sent to an agent. */
    data object Waiting : TaskState

    /** The task was sent to the agent at [link]. [isStarted] is true once the target has started it. */
    data class AtAgent(
        val link: LinkId,
        val attempt: Int,
        val isStarted: Boolean,
        val sentAt: Duration,
    ) : TaskState

    /** The link to the agent was lost. A run that it may have left at the target has ended by [until]. */
    data class Lost(
        val until: Duration,
    ) : TaskState

    /** The task has completed. */
    data object Done : TaskState
}

/** One task of a job and the attempts to run it. */
internal class JobTask(
    val step: Int,
    val index: Int,
) {
    var state: TaskState = TaskState.Waiting
    var attempts = 0
    var failures = 0

    /** Links on which this task failed or was refused; others are preferred. */
    val avoidedLinks = HashSet<LinkId>()
}

/** Why a job ends before all of its tasks are done. */
internal sealed interface EndCause {
    val reason: String

    data class Aborted(
        override val reason: String,
        val retryAfter: Duration,
    ) : EndCause

    data class Failed(
        override val reason: String,
    ) : EndCause

    data object CallerLeft : EndCause {
        override val reason = "the caller left"
    }

    data object Cancelled : EndCause {
        override val reason = "the job was cancelled"
    }
}

/** A submission with the id of a job that has ended but may still run. [caller] waits until [deadline] at most. */
internal class Resubmission(
    val request: JobRequest,
    val caller: Caller,
    val deadline: Duration,
)

/** An open job of an entry, with its tasks and its callers. */
internal class Job(
    val request: JobRequest,
    val arrivedAt: Duration,
    val deadline: Duration = arrivedAt + request.timeout,
) {
    val tasks: List<JobTask> = request.steps.flatMapIndexed { step, body -> List(body.count) { JobTask(step, it) } }
    val callers = ArrayList<Caller>()
    var hasStarted = false
    var endCause: EndCause? = null

    /** True once the job has been removed from the open jobs. */
    var isClosed = false

    /** Submissions with the same id that wait until this job is closed. */
    val resubmissions = ArrayList<Resubmission>()
    val id get() = request.id
    val dueAt = arrivedAt + request.objective
    val isDone get() = tasks.all { it.state == TaskState.Done }

    /** True if a task waits to be sent to an agent. */
    val hasWaitingTasks get() = tasks.any { it.state == TaskState.Waiting }

    /** True while no task of the job is at an agent, may be running or is done. */
    val isHeld get() = tasks.all { it.state == TaskState.Waiting }

    /** True while a task of the job may be running. */
    val mayStillRun get() = tasks.any { it.state is TaskState.AtAgent || it.state is TaskState.Lost }

    fun task(
        step: Int,
        index: Int,
    ): JobTask? = tasks.find { it.step == step && it.index == index }

    /** Returns the tasks that wait to be sent to an agent, by step in the order of the steps. */
    fun waitingTasks(): Map<Int, List<JobTask>> = tasks.filter { it.state == TaskState.Waiting }.groupBy { it.step }

    fun isReady(step: Int) =
        request.steps[step].dependsOn.all { dependency ->
            tasks.all {
                it.step != dependency ||
                    it.state == TaskState.Done
            }
        }
}
