package io.bluebellramp.bench.trial

import io.bluebellramp.core.EntryId
import io.bluebellramp.placement.EntryCreditState
import io.bluebellramp.placement.GrantPolicy
import io.bluebellramp.placement.QueueDemand
import kotlin.time.Duration

/** Simulated agent that grants credits for its slots by the given [GrantPolicy]. */
internal class CreditAgent(
    val index: Int,
    private val context: TrialContext,
    private val policy: GrantPolicy,
    private val entries: () -> List<CreditEntry>,
) {
    private class CreditState(
        val entry: Int,
    ) {
        var unspent = 0
        var recalled = 0
        var demand = QueueDemand(tasks = 0, tasksLeft = 0)

        fun view() = EntryCreditState(entry = EntryId("$entry"), unspent = unspent, demand = demand, recalled = recalled)
    }

    private val executor = context.executors[index]
    private val creditStates = List(context.settings.entries) { CreditState(it) }
    private val queued = ArrayDeque<TrialTask>()
    private var inService = true
    private val outbox =
        FrameOutbox(
            time = context.time,
            create = ::FrameToEntry,
            delay = { context.site.delay(it, index) },
            beforeSend = { _, frame -> context.tally.countMessage(frame.kind) },
            deliver = { entry, frame -> entries()[entry].receive(index, frame) },
        )

    fun receive(
        entry: Int,
        frame: FrameToAgent,
    ) {
        val creditState = creditStates[entry]
        frame.demand?.let { creditState.demand = it }
        frame.dispatches.forEach { accept(creditState, it) }
        creditState.unspent -= frame.returned
        creditState.recalled = maxOf(0, creditState.recalled - frame.answered)
        startQueued()
        grant()
    }

    /** Grants and recalls credits for the free slots as the policy decides. */
    fun grant() {
        if (!inService) return
        val used = executor.running + queued.size + creditStates.sumOf { it.unspent }
        val decision = policy.decide(executor.slots + context.settings.tuning.prefetch - used, creditStates.map { it.view() })
        decision.grants.forEach { (entry, credits) -> grant(creditStates[entry.value.toInt()], credits) }
        decision.recalls.forEach { (entry, credits) -> recall(creditStates[entry.value.toInt()], credits) }
    }

    /** Sets whether the agent may start tasks. Going out of service revokes all credits and refuses the queued tasks. */
    fun setInService(value: Boolean) {
        inService = value
        if (value) return grant()
        creditStates.forEach {
            it.unspent = 0
            it.recalled = 0
            outbox.frameTo(it.entry).dropped = true
        }
        queued.forEach { refuse(it) }
        queued.clear()
    }

    private fun accept(
        creditState: CreditState,
        task: TrialTask,
    ) {
        if (!inService || creditState.unspent == 0) return refuse(task)
        creditState.unspent--
        creditState.recalled = minOf(creditState.recalled, creditState.unspent)
        queued += task
    }

    private fun startQueued() {
        while (inService && executor.free > 0) {
            val task = queued.removeFirstOrNull() ?: return
            executor.run(task) { ran, failed -> ended(task, ran, failed) }
        }
    }

    private fun ended(
        task: TrialTask,
        ran: Duration,
        failed: Boolean,
    ) {
        outbox.frameTo(task.job.entry).outcomes += TrialOutcome(task, ran, failed, notRun = false)
        startQueued()
        grant()
    }

    private fun refuse(task: TrialTask) {
        outbox.frameTo(task.job.entry).outcomes += TrialOutcome(task, Duration.ZERO, failed = false, notRun = true)
    }

    private fun grant(
        creditState: CreditState,
        credits: Int,
    ) {
        creditState.unspent += credits
        outbox.frameTo(creditState.entry).granted += credits
    }

    private fun recall(
        creditState: CreditState,
        credits: Int,
    ) {
        creditState.recalled += credits
        outbox.frameTo(creditState.entry).recalled += credits
    }
}
