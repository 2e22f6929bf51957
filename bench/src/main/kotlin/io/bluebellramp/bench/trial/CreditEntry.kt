package io.bluebellramp.bench.trial

import io.bluebellramp.core.SubmissionId
import io.bluebellramp.core.TargetId
import io.bluebellramp.core.ZoneId
import io.bluebellramp.placement.CreditPool
import io.bluebellramp.placement.DemandChangeFilter
import io.bluebellramp.placement.JobQueue
import io.bluebellramp.placement.QueueDemand
import io.bluebellramp.placement.QueuedJob
import kotlin.time.Duration

/** Simulated entry that dispatches tasks against credits, with a real [JobQueue] and [CreditPool]. */
internal class CreditEntry(
    val index: Int,
    private val context: TrialContext,
    private val queue: JobQueue,
    private val pool: CreditPool,
    private val agents: () -> List<CreditAgent>,
) {
    private val time = context.time
    private val jobs = HashMap<SubmissionId, TrialJob>()
    private val reportedDemands = HashMap<Int, QueueDemand>()
    private val changeFilter = DemandChangeFilter()
    private val noDemand = QueueDemand(tasks = 0, tasksLeft = 0)
    private val outbox =
        FrameOutbox(
            time = time,
            create = ::FrameToAgent,
            delay = { context.site.delay(index, it) },
            beforeSend = ::beforeSend,
            deliver = { agent, frame -> agents()[agent].receive(index, frame) },
        )

    fun submit(job: TrialJob) {
        jobs[job.submission] = job
        val tasks =
            job.plan.tasks.indices
                .toList()
        queue.add(QueuedJob(submission = job.submission, team = null, tasks = tasks, arrivedAt = time.now, deadline = Duration.INFINITE))
        dispatch()
        reportDemandToIdleAgents()
    }

    fun cancel(job: TrialJob) {
        job.isStopped = true
        queue.remove(job.submission)
        jobs.remove(job.submission)
    }

    fun receive(
        agent: Int,
        frame: FrameToEntry,
    ) {
        frame.outcomes.forEach { ended(agent, it) }
        if (frame.dropped) pool.removeTarget(target(agent))
        if (frame.granted > 0) pool.grant(target(agent), ZoneId("${context.site.zoneOf(agent)}"), frame.granted)
        dispatch()
        if (frame.recalled > 0) answerRecall(agent, frame.recalled)
    }

    /** Reports the demand to the agents whose last report differs significantly. */
    fun reportDemand() {
        val demand = queue.demand(time.now)
        agents().filter { changeFilter.isSignificant(reportedDemands[it.index], demand) }.forEach { outbox.frameTo(it.index) }
    }

    private fun reportDemandToIdleAgents() {
        if (queue.demand(time.now).tasks == 0) return
        agents().filter { (reportedDemands[it.index] ?: noDemand).tasks == 0 }.forEach { outbox.frameTo(it.index) }
    }

    private fun dispatch() {
        while (queue.demand(time.now).tasks > 0) {
            val target = pool.spend(time.now)?.target ?: return
            val pick = checkNotNull(queue.take(time.now))
            outbox.frameTo(agent(target)).dispatches += TrialTask(jobs.getValue(pick.submission), pick.task)
        }
    }

    private fun ended(
        agent: Int,
        outcome: TrialOutcome,
    ) {
        val job = outcome.task.job
        if (outcome.notRun) {
            pool.taskNotStarted(target(agent))
            return queue.requeue(job.submission, outcome.task.index)
        }
        pool.taskEnded(target(agent), outcome.ran, outcome.failed, time.now)
        queue.taskEnded(job.submission, outcome.task.index)
        if (!context.taskEnded(job, outcome.failed)) return
        queue.remove(job.submission)
        jobs.remove(job.submission)
    }

    private fun answerRecall(
        agent: Int,
        credits: Int,
    ) {
        val frame = outbox.frameTo(agent)
        frame.returned += pool.withdraw(target(agent), credits)
        frame.answered += credits
    }

    private fun beforeSend(
        agent: Int,
        frame: FrameToAgent,
    ) {
        val demand = queue.demand(time.now)
        if (reportedDemands[agent] != demand) frame.demand = demand
        reportedDemands[agent] = demand
        context.tally.countMessage(frame.kind)
    }

    private fun target(agent: Int) = TargetId("t$agent")

    private fun agent(target: TargetId): Int = target.value.drop(1).toInt()
}
