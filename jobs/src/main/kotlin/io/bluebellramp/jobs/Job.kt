package io.bluebellramp.jobs

import kotlin.time.Duration

/** Where a task stands, as its entry knows it. */
internal sealed interface TaskPlace {
    /** No agent has it. */
    data object Waiting : TaskPlace

    /** The agent at [link] has it; [isStarted] once the target has taken it. */
    data class AtAgent(
        val link: LinkId,
        val attempt: Int,
        val isStarted: Boolean,
        val sentAt: Duration,
    ) : TaskPlace

    /** The link to its agent was lost; whatever ran there has ended by [until]. */
    data class Lost(
        val until: Duration,
    ) : TaskPlace

    /** The task has ended well. */
    data object Done : TaskPlace
}

internal class JobTask(
    val step: Int,
    val index: Int,
) {
    var place: TaskPlace = TaskPlace.Waiting
    var attempts = 0
    var failures = 0

    /** Links where this task failed or was refused; others are tried first. */
    val avoided = HashSet<LinkId>()
}

/** Why a job ends although not all of its tasks are done. */
internal sealed interface Ending {
    val reason: String

    data class Hopeless(
        override val reason: String,
        val retryAfter: Duration,
    ) : Ending

    data class Failed(
        override val reason: String,
    ) : Ending

    data object CallerLeft : Ending {
        override val reason = "the caller left"
    }

    data object Cancelled : Ending {
        override val reason = "the job was cancelled"
    }
}

internal class Job(
    val request: JobRequest,
    val arrivedAt: Duration,
) {
    val tasks: List<JobTask> = request.steps.flatMapIndexed { step, body -> List(body.count) { JobTask(step, it) } }
    val callers = ArrayList<Caller>()
    var hasStarted = false
    var ending: Ending? = null

    /** True once it is out of the table. */
    var isClosed = false

    /** Submissions of the same id that wait until this one is gone. */
    val successors = ArrayList<Pair<JobRequest, Caller>>()
    val id get() = request.id
    val deadline = arrivedAt + request.patience
    val dueAt = arrivedAt + request.objective
    val isDone get() = tasks.all { it.place == TaskPlace.Done }

    /** True while an agent may run something of it. */
    val mayRun get() = tasks.any { it.place is TaskPlace.AtAgent || it.place is TaskPlace.Lost }

    fun task(
        step: Int,
        index: Int,
    ): JobTask? = tasks.find { it.step == step && it.index == index }

    fun isReady(step: Int) = request.steps[step].dependsOn.all { before -> tasks.all { it.step != before || it.place == TaskPlace.Done } }
}
