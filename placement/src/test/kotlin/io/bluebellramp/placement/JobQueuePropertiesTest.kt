package io.bluebellramp.placement

import io.bluebellramp.core.SubmissionId
import io.bluebellramp.core.TeamId
import net.jqwik.api.Arbitraries
import net.jqwik.api.Arbitrary
import net.jqwik.api.Combinators
import net.jqwik.api.ForAll
import net.jqwik.api.Property
import net.jqwik.api.Provide
import java.time.Instant
import kotlin.test.assertEquals
import kotlin.test.assertNotNull
import kotlin.test.assertNull
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** One operation of a generated sequence. [pick] selects an existing job or a team. */
internal data class Step(
    val kind: Kind,
    val pick: Int,
    val size: Int,
) {
    enum class Kind { ADD, TAKE, REQUEUE, END, REMOVE, WAIT }
}

internal class JobQueuePropertiesTest {
    private val teams = listOf(TeamId("boards"), TeamId("clerks"), null)
    private val quotaByTeam = mapOf(TeamId("boards") to 3, TeamId("clerks") to 0)

    private val quota =
        object : TeamQuota {
            override fun remaining(team: TeamId) = quotaByTeam.getValue(team)
        }

    @Provide
    fun steps(): Arbitrary<List<Step>> {
        val kinds = Arbitraries.of(Step.Kind.ADD, Step.Kind.TAKE, Step.Kind.TAKE, *Step.Kind.entries.toTypedArray())
        val numbers = Arbitraries.integers().between(0, 99)
        val step = Combinators.combine(kinds, numbers, Arbitraries.integers().between(1, 9)).`as` { k, p, s -> Step(k, p, s) }
        return step.list().ofMaxSize(120)
    }

    @Property(tries = 300, seed = "20261204")
    fun `first come first served takes the oldest job`(
        @ForAll("steps") steps: List<Step>,
    ) = run(steps, FirstComeFirstServedQueue(quota)) { reference, _ -> setOf(reference.startableJobs().first()) }

    @Property(tries = 300, seed = "20261204")
    fun `fewest tasks left takes the job with the fewest unfinished tasks or the job that became late first`(
        @ForAll("steps") steps: List<Step>,
    ) = run(steps, FewestTasksLeftQueue(idealResponseTime = { it.seconds }, quota = quota, lateFactor = 2.0)) { reference, now ->
        val jobs = reference.startableJobs()
        setOfNotNull(jobs.minBy { it.tasksLeft }, jobs.filter { it.lateAt <= now }.minByOrNull { it.lateAt })
    }

    @Property(tries = 300, seed = "20261204")
    fun `fewest tasks left without an ideal response time takes the job with the fewest unfinished tasks`(
        @ForAll("steps") steps: List<Step>,
    ) = run(steps, FewestTasksLeftQueue(quota = quota)) { reference, _ -> setOf(reference.startableJobs().minBy { it.tasksLeft }) }

    @Property(tries = 300, seed = "20261204")
    fun `fair share takes a job of the team with the fewest running tasks`(
        @ForAll("steps") steps: List<Step>,
    ) = run(steps, FairShareQueue(quota)) { reference, _ ->
        val jobs = reference.startableJobs()
        val fewestRunning = jobs.minOf { reference.runningTasksOf(it.team) }
        setOf(jobs.filter { reference.runningTasksOf(it.team) == fewestRunning }.minBy { it.tasksLeft })
    }

    private fun run(
        steps: List<Step>,
        queue: JobQueue,
        allowedJobs: (ReferenceQueue, Duration) -> Set<ReferenceQueue.Job>,
    ) {
        val reference = ReferenceQueue(quotaByTeam)
        var now = 0.seconds
        for (step in steps) {
            when (step.kind) {
                Step.Kind.ADD -> add(reference, queue, step, now)
                Step.Kind.TAKE -> take(reference, queue, now, allowedJobs)
                Step.Kind.REQUEUE -> removeRunningTask(reference, step) { id, task, job -> requeue(queue, id, task, job) }
                Step.Kind.END -> removeRunningTask(reference, step) { id, task, _ -> queue.taskEnded(id, task) }
                Step.Kind.REMOVE -> remove(reference, queue, step)
                Step.Kind.WAIT -> now += step.size.seconds
            }
            assertEquals(reference.waiting, queue.waiting, "waiting after $step")
            assertEquals(reference.startableTasks, queue.demand(now).tasks, "demand after $step")
        }
        takeAllStartable(reference, queue, now)
    }

    private fun add(
        reference: ReferenceQueue,
        queue: JobQueue,
        step: Step,
        now: Duration,
    ) {
        val id = SubmissionId.create(Instant.EPOCH, high = 0, low = reference.jobs.size.toLong())
        val tasks = List(step.size) { it }
        val team = teams[step.pick % teams.size]
        queue.add(QueuedJob(submission = id, team = team, tasks = tasks, arrivedAt = now, deadline = Duration.INFINITE))
        reference.jobs += ReferenceQueue.Job(id, team, lateAt = now + (2 * step.size).seconds, waiting = tasks.toMutableList())
    }

    private fun take(
        reference: ReferenceQueue,
        queue: JobQueue,
        now: Duration,
        allowedJobs: (ReferenceQueue, Duration) -> Set<ReferenceQueue.Job>,
    ) {
        val pick = queue.take(now)
        if (reference.startableJobs().isEmpty()) return assertNull(pick)
        assertNotNull(pick)
        val job = reference.find(pick.submission)
        assertNotNull(job)
        assertTrue(job in allowedJobs(reference, now), "took $pick")
        assertTrue(job.waiting.remove(pick.task))
        job.running += pick.task
    }

    private fun removeRunningTask(
        reference: ReferenceQueue,
        step: Step,
        apply: (SubmissionId, Int, ReferenceQueue.Job) -> Unit,
    ) {
        val job = reference.jobs.filter { it.running.isNotEmpty() }.let { if (it.isEmpty()) return else it[step.pick % it.size] }
        val task = job.running.first()
        job.running -= task
        apply(job.id, task, job)
    }

    private fun requeue(
        queue: JobQueue,
        id: SubmissionId,
        task: Int,
        job: ReferenceQueue.Job,
    ) {
        queue.requeue(id, task)
        if (!job.removed) job.waiting.add(0, task)
    }

    private fun remove(
        reference: ReferenceQueue,
        queue: JobQueue,
        step: Step,
    ) {
        if (reference.jobs.isEmpty()) return
        val job = reference.jobs[step.pick % reference.jobs.size]
        assertEquals(job.waiting.toList(), queue.remove(job.id))
        job.removed = true
        job.waiting.clear()
    }

    private fun takeAllStartable(
        reference: ReferenceQueue,
        queue: JobQueue,
        now: Duration,
    ) {
        var remaining = reference.startableJobs().sumOf { it.waiting.size }
        while (queue.take(now) != null) remaining--
        assertEquals(0, remaining, "tasks that could not be taken")
    }
}
