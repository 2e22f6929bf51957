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

/** Records what an agent did across its incarnations and what it was allowed to do. Every breach becomes a line in [breaches]. */
internal class StartHistory {
    private class Granted(
        val permit: Permit,
        val until: Duration,
    )

    private val started = HashSet<TaskReference>()
    private val notRun = HashSet<TaskReference>()
    private val idempotent = HashSet<Pair<String, Int>>()
    private val permits = ArrayList<Granted>()
    private val running = HashMap<TaskReference, DispatchKind>()
    val breaches = ArrayList<String>()
    var starts = 0
        private set

    fun created(
        submission: String,
        task: Int,
        isIdempotent: Boolean,
    ) {
        if (isIdempotent) idempotent += submission to task
    }

    /** A permit reached the agent; the request was made at [requested]. */
    fun permitted(
        permit: Permit,
        requested: Duration,
    ) {
        permits += Granted(permit, requested + permit.validMillis.milliseconds)
    }

    /** A new run of the agent: its permits and slots are its own. */
    fun restarted() {
        permits.clear()
        running.clear()
    }

    fun started(
        action: AgentAction.Start,
        now: Duration,
        hasTarget: Boolean,
    ) {
        starts++
        val call = action.call
        val reference = TaskReference(call.submission, call.task, call.attempt)
        val highest = permits.maxOfOrNull { it.permit.revision } ?: Revision.ZERO
        val live = permits.filter { it.permit.revision == highest && it.permit.inService && now < it.until }
        if (live.isEmpty()) breach(now, "start without a live permit in service", reference)
        if (!hasTarget) breach(now, "start without a target", reference)
        if (reference in started) breach(now, "attempt started twice", reference)
        val repeated = started.any { it.submission == reference.submission && it.task == reference.task }
        if (repeated && (reference.submission.value to reference.task) !in idempotent) breach(now, "task started twice", reference)
        if (reference in notRun) breach(now, "start after not_run", reference)
        val age = (ManualClock().wall().toEpochMilli() - call.submission.instant.toEpochMilli()).milliseconds + now
        if (age > 10.minutes || age < -(1.minutes)) breach(now, "start of an id out of time", reference)
        started += reference
        running[reference] = call.kind
        val limit = permits.lastOrNull { it.permit.revision == highest }?.permit
        if (count(DispatchKind.TASK) > (limit?.slots ?: 0) &&
            call.kind == DispatchKind.TASK
        ) {
            breach(now, "more tasks than slots", reference)
        }
        if (count(DispatchKind.REQUEST) > (limit?.connections ?: 0) && call.kind == DispatchKind.REQUEST) {
            breach(now, "more requests than connections", reference)
        }
    }

    fun ended(reference: TaskReference) {
        running.remove(reference)
    }

    fun said(
        outcome: TaskOutcome,
        agent: IncarnationId,
        now: Duration,
    ) {
        val reference = TaskReference(outcome.submission, outcome.task, outcome.attempt)
        if (outcome.status == TaskStatus.NOT_RUN) {
            if (reference in started) breach(now, "not_run after a start by $agent", reference)
            notRun += reference
        }
        if (outcome.status == TaskStatus.DONE && outcome.result != reference.toString()) breach(now, "crossed result", reference)
    }

    fun breach(
        now: Duration,
        what: String,
        subject: Any,
    ) {
        breaches += "$now: $what: $subject"
    }

    private fun count(kind: DispatchKind) = running.values.count { it == kind }
}
