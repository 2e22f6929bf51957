package io.bluebellramp.agent

import io.bluebellramp.core.IncarnationId
import io.bluebellramp.core.Revision
import io.bluebellramp.messages.DispatchKind
import io.bluebellramp.messages.Permit
import io.bluebellramp.messages.TaskOutcome
import io.bluebellramp.messages.TaskReference
import io.bluebellramp.messages.TaskStatus
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes

/** Checks what an agent does, across its incarnations, against what it is allowed to do. Each breach is a line in [violations]. */
internal class AgentInvariantChecker {
    private class ReceivedPermit(
        val permit: Permit,
        val expiresAt: Duration,
    )

    private val startedAttempts = HashSet<TaskReference>()
    private val notRunAttempts = HashSet<TaskReference>()
    private val idempotent = HashSet<Pair<String, Int>>()
    private val permits = ArrayList<ReceivedPermit>()
    private val running = HashMap<TaskReference, DispatchKind>()
    val violations = ArrayList<String>()
    var starts = 0
        private set

    fun taskCreated(
        submission: String,
        task: Int,
        isIdempotent: Boolean,
    ) {
        if (isIdempotent) idempotent += submission to task
    }

    /** Records a permit that reached the agent, whose request was made at [requestedAt]. */
    fun permitReceived(
        permit: Permit,
        requestedAt: Duration,
    ) {
        permits += ReceivedPermit(permit, requestedAt + permit.validMillis.milliseconds)
    }

    /** Records a restart of the agent, which starts without permits and running tasks. */
    fun agentRestarted() {
        permits.clear()
        running.clear()
    }

    fun taskStarted(
        action: AgentAction.CallTarget,
        now: Duration,
        hasTarget: Boolean,
    ) {
        starts++
        val call = action.call
        val reference = TaskReference(call.submission, call.task, call.attempt)
        val highest = permits.maxOfOrNull { it.permit.revision } ?: Revision.ZERO
        val valid = permits.filter { it.permit.revision == highest && it.permit.inService && now < it.expiresAt }
        if (valid.isEmpty()) addViolation(now, "start without a valid permit in service", reference)
        if (!hasTarget) addViolation(now, "start without a target", reference)
        if (reference in startedAttempts) addViolation(now, "attempt started twice", reference)
        val repeated = startedAttempts.any { it.submission == reference.submission && it.task == reference.task }
        if (repeated && (reference.submission.value to reference.task) !in idempotent) addViolation(now, "task started twice", reference)
        if (reference in notRunAttempts) addViolation(now, "start after not_run", reference)
        val age = (ManualClock().wall().toEpochMilli() - call.submission.instant.toEpochMilli()).milliseconds + now
        if (age > 10.minutes || age < -(1.minutes)) addViolation(now, "start outside the time window of the id", reference)
        startedAttempts += reference
        running[reference] = call.kind
        val limit = permits.lastOrNull { it.permit.revision == highest }?.permit
        if (count(DispatchKind.TASK) > (limit?.slots ?: 0) &&
            call.kind == DispatchKind.TASK
        ) {
            addViolation(now, "more tasks than slots", reference)
        }
        if (count(DispatchKind.REQUEST) > (limit?.connections ?: 0) && call.kind == DispatchKind.REQUEST) {
            addViolation(now, "more requests than connections", reference)
        }
    }

    fun callEnded(reference: TaskReference) {
        running.remove(reference)
    }

    fun outcomeReported(
        outcome: TaskOutcome,
        agent: IncarnationId,
        now: Duration,
    ) {
        val reference = TaskReference(outcome.submission, outcome.task, outcome.attempt)
        if (outcome.status == TaskStatus.NOT_RUN) {
            if (reference in startedAttempts) addViolation(now, "not_run after a start by $agent", reference)
            notRunAttempts += reference
        }
        if (outcome.status == TaskStatus.DONE && outcome.result != reference.toString()) addViolation(now, "mismatched result", reference)
    }

    fun addViolation(
        now: Duration,
        rule: String,
        subject: Any,
    ) {
        violations += "$now: $rule: $subject"
    }

    private fun count(kind: DispatchKind) = running.values.count { it == kind }
}
