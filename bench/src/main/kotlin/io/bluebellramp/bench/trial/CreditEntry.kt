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

/** An entry that dispatches against credits, with the real queue and pool. */
internal class CreditEntry(
    val index: Int,
    private val world: TrialWorld,
    private val queue: JobQueue,
    private val pool: CreditPool,
    private val agents: () -> List<CreditAgent>,
) {
    private val time = world.time
    private val jobs = HashMap<SubmissionId, TrialJob>()
    private val known = HashMap<Int, QueueDemand>()
    private val changeFilter = DemandChangeFilter()
    private val nothing = QueueDemand(tasks = 0, tasksLeft = 0)
    private val outbox =
        FrameOutbox(
            time = time,
            create = ::ToAgent,
            delay = { world.site.delay(index, it) },
            seal = ::seal,
            deliver = { agent, frame -> agents()[agent].receive(index, frame) },
        )

    fun submit(job: TrialJob) {
        jobs[job.submission] = job
        val tasks =
            job.plan.tasks.indices
                .toList()
        queue.add(QueuedJob(submission = job.submission, team = null, tasks = tasks, arrivedAt = time.now, deadline = Duration.INFINITE))
        dispatch()
        tellIdleAgents()
    }

    fun cancel(job: TrialJob) {
        job.stopped = true
        queue.remove(job.submission)
        jobs.remove(job.submission)
    }

    fun receive(
        agent: Int,
        frame: ToEntry,
    ) {
        frame.outcomes.forEach { ended(agent, it) }
        if (frame.dropped) pool.removeTarget(target(agent))
        if (frame.granted > 0) pool.grant(target(agent), ZoneId("${world.site.zoneOf(agent)}"), frame.granted)
        dispatch()
        if (frame.recalled > 0) answerRecall(agent, frame.recalled)
    }

    /** Reports demand to the agents that know another. */
    fun tellAgents() {
        val demand = queue.demand(time.now)
        agents().filter { changeFilter.isSignificant(known[it.index], demand) }.forEach { outbox.to(it.index) }
    }

    private fun tellIdleAgents() {
        if (queue.demand(time.now).tasks == 0) return
        agents().filter { (known[it.index] ?: nothing).tasks == 0 }.forEach { outbox.to(it.index) }
    }

    private fun dispatch() {
        while (queue.demand(time.now).tasks > 0) {
            val target = pool.spend(time.now)?.target ?: return
            val pick = checkNotNull(queue.take(time.now))
            outbox.to(agent(target)).dispatches += TrialTask(jobs.getValue(pick.submission), pick.task)
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
        if (!world.taskEnded(job, outcome.failed)) return
        queue.remove(job.submission)
        jobs.remove(job.submission)
    }

    private fun answerRecall(
        agent: Int,
        credits: Int,
    ) {
        val frame = outbox.to(agent)
        frame.returned += pool.withdraw(target(agent), credits)
        frame.answered += credits
    }

    private fun seal(
        agent: Int,
        frame: ToAgent,
    ) {
        val demand = queue.demand(time.now)
        if (known[agent] != demand) frame.demand = demand
        known[agent] = demand
        world.tally.message(frame.kind)
    }

    private fun target(agent: Int) = TargetId("t$agent")

    private fun agent(target: TargetId): Int = target.value.drop(1).toInt()
}
