package io.bluebellramp.agent

import io.bluebellramp.core.EntryId
import io.bluebellramp.core.IncarnationId
import io.bluebellramp.core.SubmissionId
import io.bluebellramp.messages.AgentFrame
import io.bluebellramp.messages.Credits
import io.bluebellramp.messages.Demand
import io.bluebellramp.messages.Dispatch
import io.bluebellramp.messages.DispatchKind
import io.bluebellramp.messages.EntryFrame
import io.bluebellramp.messages.EntryHello
import io.bluebellramp.messages.TaskOutcome
import io.bluebellramp.messages.TaskReference
import io.bluebellramp.messages.TaskStatus
import kotlin.random.Random

/** A task that waits at a simulated entry. */
internal data class WaitingTask(
    val submission: SubmissionId,
    val task: Int,
    val attempt: Int,
    val kind: DispatchKind,
    val idempotent: Boolean,
)

/** An entry that keeps the rules of the frames, apart from what [chaos] adds. One run of it at a time is connected once. */
internal class SimulatedEntry(
    private val name: String,
    private val random: Random,
) {
    private class Open(
        val task: WaitingTask,
        val agent: IncarnationId,
        var isConfirmed: Boolean,
    )

    private class Life(
        var attempts: Int = 0,
        var mayHaveStarted: Boolean = false,
    )

    private val lives = HashMap<Pair<SubmissionId, Int>, Life>()
    private var runs = 0
    private var agent: IncarnationId? = null
    private var slots = 0
    private var connections = 0
    private var received = 0L
    private val open = LinkedHashMap<TaskReference, Open>()
    private val over = HashSet<Pair<SubmissionId, Int>>()
    private val cancelled = HashSet<TaskReference>()
    val waiting = ArrayDeque<WaitingTask>()
    var chaos = true
    private lateinit var hello: EntryHello

    /** Attempts whose outcome is due from the run [agent] of the agent. */
    fun due(agent: IncarnationId) = open.filterValues { it.agent == agent }.keys

    fun restart() {
        runs++
        hello = EntryHello(EntryId(name), IncarnationId("$name.$runs"))
        open.clear()
        waiting.clear()
        disconnected()
    }

    fun connected() = EntryFrame(hello = hello)

    fun disconnected() {
        agent = null
        dropCredits()
        received = 0
        open.values.forEach { it.isConfirmed = false }
    }

    private fun dropCredits() {
        slots = 0
        connections = 0
    }

    /** Takes a frame and returns the answer without its permit. */
    fun received(frame: AgentFrame): EntryFrame {
        val inquiries = frame.hello?.let { greeted(it.incarnation) }.orEmpty()
        if (frame.target?.present == false) dropCredits()
        slots += frame.credits?.slots ?: 0
        connections += frame.credits?.connections ?: 0
        received += frame.outcomes.size
        frame.outcomes.forEach(::ended)
        val returned = frame.recalled?.takeUnless { chaos && random.nextInt(10) == 0 }?.let(::giveBack)
        return work().copy(inquiries = inquiries, returned = returned, received = received)
    }

    /** Dispatches what it has credits for, and now and then cancels or misbehaves. */
    fun work(): EntryFrame {
        val run = agent ?: return EntryFrame()
        val dispatches = ArrayList<Dispatch>()
        val work = ArrayDeque(waiting)
        waiting.clear()
        for (task in work) {
            val isTask = task.kind == DispatchKind.TASK
            val held = if (isTask) slots else connections
            val greedy = chaos && random.nextInt(50) == 0
            if (held == 0 && !greedy) {
                waiting += task
                continue
            }
            if (held > 0) {
                if (isTask) {
                    slots--
                } else {
                    connections--
                }
            }
            dispatches += dispatch(task, run)
        }
        if (chaos && random.nextInt(30) == 0) retryWithoutProof(run)?.let { dispatches += it }
        val cancels = if (chaos && random.nextInt(20) == 0) open.keys.shuffled(random).take(1) else emptyList()
        cancelled += cancels
        val tasks = waiting.count { it.kind == DispatchKind.TASK }
        return EntryFrame(demand = Demand(tasks, tasks), dispatches = dispatches, cancels = cancels, received = received)
    }

    private fun dispatch(
        task: WaitingTask,
        run: IncarnationId,
    ): Dispatch {
        val reference = TaskReference(task.submission, task.task, task.attempt)
        open[reference] = Open(task, run, isConfirmed = true)
        return Dispatch(task.submission, task.task, task.attempt, run, task.kind, reference.toString(), 60_000, task.idempotent)
    }

    private fun retryWithoutProof(run: IncarnationId): Dispatch? {
        val victim = open.values.filter { it.agent == run }.randomOrNull(random) ?: return null
        return dispatch(next(victim.task), run)
    }

    private fun greeted(run: IncarnationId): List<TaskReference> {
        agent = run
        val lost = open.filterValues { it.agent != run }
        lost.forEach { (reference, attempt) ->
            open.remove(reference)
            again(attempt.task, mayHaveStarted = true)
        }
        return open.filterValues { !it.isConfirmed }.keys.toList()
    }

    private fun ended(outcome: TaskOutcome) {
        val reference = TaskReference(outcome.submission, outcome.task, outcome.attempt)
        if (outcome.status == TaskStatus.RUNNING) return
        val attempt = open.remove(reference) ?: return
        val isOver = outcome.status == TaskStatus.DONE || outcome.status == TaskStatus.ERROR
        if (isOver || reference in cancelled) over += attempt.task.submission to attempt.task.task
        again(attempt.task, mayHaveStarted = outcome.status != TaskStatus.NOT_RUN)
    }

    private fun again(
        task: WaitingTask,
        mayHaveStarted: Boolean,
    ) {
        val life = life(task)
        life.mayHaveStarted = life.mayHaveStarted || mayHaveStarted
        val isOpen = open.keys.any { it.submission == task.submission && it.task == task.task }
        if (isOpen || task.attempt >= MAX_ATTEMPTS || (task.submission to task.task) in over) return
        if (task.idempotent || !life.mayHaveStarted) waiting += next(task)
    }

    private fun next(task: WaitingTask): WaitingTask {
        val life = life(task)
        life.attempts = maxOf(life.attempts, task.attempt) + 1
        return task.copy(attempt = life.attempts)
    }

    private fun life(task: WaitingTask) = lives.getOrPut(task.submission to task.task) { Life() }

    private fun giveBack(recalled: Credits): Credits {
        val back = Credits(minOf(slots, recalled.slots), minOf(connections, recalled.connections))
        slots -= back.slots
        connections -= back.connections
        return back
    }

    private companion object {
        const val MAX_ATTEMPTS = 400
    }
}
