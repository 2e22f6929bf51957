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

/** A task queued at a simulated entry. */
internal data class WaitingTask(
    val submission: SubmissionId,
    val task: Int,
    val attempt: Int,
    val kind: DispatchKind,
    val idempotent: Boolean,
)

/** An entry that follows the protocol unless [faultsEnabled] is set. Only one incarnation of it is connected at a time, and only once. */
internal class SimulatedEntry(
    private val name: String,
    private val random: Random,
) {
    private class OpenAttempt(
        val task: WaitingTask,
        val agent: IncarnationId,
        var isConfirmed: Boolean,
    )

    private class TaskHistory(
        var attempts: Int = 0,
        var mayHaveStarted: Boolean = false,
    )

    private val histories = HashMap<Pair<SubmissionId, Int>, TaskHistory>()
    private var incarnations = 0
    private var agent: IncarnationId? = null
    private var slots = 0
    private var connections = 0
    private var receivedOutcomes = 0L
    private val openAttempts = LinkedHashMap<TaskReference, OpenAttempt>()
    private val finishedTasks = HashSet<Pair<SubmissionId, Int>>()
    private val cancelledAttempts = HashSet<TaskReference>()
    val waiting = ArrayDeque<WaitingTask>()
    var faultsEnabled = true
    private lateinit var hello: EntryHello

    /** Returns the attempts whose outcome the incarnation [agent] of the agent has yet to report. */
    fun attemptsAwaitingOutcome(agent: IncarnationId) = openAttempts.filterValues { it.agent == agent }.keys

    fun restart() {
        incarnations++
        hello = EntryHello(EntryId(name), IncarnationId("$name.$incarnations"))
        openAttempts.clear()
        waiting.clear()
        onDisconnected()
    }

    fun onConnected() = EntryFrame(hello = hello)

    fun onDisconnected() {
        agent = null
        dropCredits()
        receivedOutcomes = 0
        openAttempts.values.forEach { it.isConfirmed = false }
    }

    private fun dropCredits() {
        slots = 0
        connections = 0
    }

    /** Handles a frame and returns the reply to it, without a permit. */
    fun onFrame(frame: AgentFrame): EntryFrame {
        val inquiries = frame.hello?.let { onAgentHello(it.incarnation) }.orEmpty()
        if (frame.target?.present == false) dropCredits()
        slots += frame.credits?.slots ?: 0
        connections += frame.credits?.connections ?: 0
        receivedOutcomes += frame.outcomes.size
        frame.outcomes.forEach(::onOutcome)
        val returned = frame.recalled?.takeUnless { faultsEnabled && random.nextInt(10) == 0 }?.let(::returnCredits)
        return dispatchWaiting().copy(inquiries = inquiries, returned = returned, received = receivedOutcomes)
    }

    /** Dispatches the tasks that the credits allow. With faults enabled it sometimes cancels attempts or breaks the protocol. */
    fun dispatchWaiting(): EntryFrame {
        val incarnation = agent ?: return EntryFrame()
        val dispatches = ArrayList<Dispatch>()
        val tasks = ArrayDeque(waiting)
        waiting.clear()
        for (task in tasks) {
            val isTask = task.kind == DispatchKind.TASK
            val credits = if (isTask) slots else connections
            val ignoresCredits = faultsEnabled && random.nextInt(50) == 0
            if (credits == 0 && !ignoresCredits) {
                waiting += task
                continue
            }
            if (credits > 0) {
                if (isTask) {
                    slots--
                } else {
                    connections--
                }
            }
            dispatches += dispatch(task, incarnation)
        }
        if (faultsEnabled && random.nextInt(30) == 0) retryWithoutProof(incarnation)?.let { dispatches += it }
        val cancels = if (faultsEnabled && random.nextInt(20) == 0) openAttempts.keys.shuffled(random).take(1) else emptyList()
        cancelledAttempts += cancels
        val queued = waiting.count { it.kind == DispatchKind.TASK }
        return EntryFrame(demand = Demand(queued, queued), dispatches = dispatches, cancels = cancels, received = receivedOutcomes)
    }

    private fun dispatch(
        task: WaitingTask,
        incarnation: IncarnationId,
    ): Dispatch {
        val reference = TaskReference(task.submission, task.task, task.attempt)
        openAttempts[reference] = OpenAttempt(task, incarnation, isConfirmed = true)
        return Dispatch(task.submission, task.task, task.attempt, incarnation, task.kind, reference.toString(), 60_000, task.idempotent)
    }

    /** Dispatches the next attempt of a task although the open one may have started. */
    private fun retryWithoutProof(incarnation: IncarnationId): Dispatch? {
        val replaced = openAttempts.values.filter { it.agent == incarnation }.randomOrNull(random) ?: return null
        return dispatch(nextAttempt(replaced.task), incarnation)
    }

    private fun onAgentHello(incarnation: IncarnationId): List<TaskReference> {
        agent = incarnation
        val lost = openAttempts.filterValues { it.agent != incarnation }
        lost.forEach { (reference, attempt) ->
            openAttempts.remove(reference)
            retryIfAllowed(attempt.task, mayHaveStarted = true)
        }
        return openAttempts.filterValues { !it.isConfirmed }.keys.toList()
    }

    private fun onOutcome(outcome: TaskOutcome) {
        val reference = TaskReference(outcome.submission, outcome.task, outcome.attempt)
        if (outcome.status == TaskStatus.RUNNING) return
        val attempt = openAttempts.remove(reference) ?: return
        val isFinished = outcome.status == TaskStatus.DONE || outcome.status == TaskStatus.ERROR
        if (isFinished || reference in cancelledAttempts) finishedTasks += attempt.task.submission to attempt.task.task
        retryIfAllowed(attempt.task, mayHaveStarted = outcome.status != TaskStatus.NOT_RUN)
    }

    private fun retryIfAllowed(
        task: WaitingTask,
        mayHaveStarted: Boolean,
    ) {
        val history = history(task)
        history.mayHaveStarted = history.mayHaveStarted || mayHaveStarted
        val isOpen = openAttempts.keys.any { it.submission == task.submission && it.task == task.task }
        if (isOpen || task.attempt >= MAX_ATTEMPTS || (task.submission to task.task) in finishedTasks) return
        if (task.idempotent || !history.mayHaveStarted) waiting += nextAttempt(task)
    }

    private fun nextAttempt(task: WaitingTask): WaitingTask {
        val history = history(task)
        history.attempts = maxOf(history.attempts, task.attempt) + 1
        return task.copy(attempt = history.attempts)
    }

    private fun history(task: WaitingTask) = histories.getOrPut(task.submission to task.task) { TaskHistory() }

    private fun returnCredits(recalled: Credits): Credits {
        val returned = Credits(minOf(slots, recalled.slots), minOf(connections, recalled.connections))
        slots -= returned.slots
        connections -= returned.connections
        return returned
    }

    private companion object {
        const val MAX_ATTEMPTS = 400
    }
}
