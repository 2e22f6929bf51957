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

/** One step of a stateful run. [pick] chooses among the jobs or tasks that are there. */
internal data class Step(
    val kind: Kind,
    val pick: Int,
    val size: Int,
) {
    enum class Kind { ADD, TAKE, GIVE_BACK, END, REMOVE, WAIT }
}

internal class JobQueuePropertiesTest {
    private val teams = listOf(TeamId("boards"), TeamId("clerks"), null)
    private val room = mapOf(TeamId("boards") to 3, TeamId("clerks") to 0)

    private val quota =
        object : TeamQuota {
            override fun room(team: TeamId) = room.getValue(team)
        }

    @Provide
    fun steps(): Arbitrary<List<Step>> {
        val kinds = Arbitraries.of(Step.Kind.ADD, Step.Kind.TAKE, Step.Kind.TAKE, *Step.Kind.entries.toTypedArray())
        val numbers = Arbitraries.integers().between(0, 99)
        val step = Combinators.combine(kinds, numbers, Arbitraries.integers().between(1, 9)).`as` { k, p, s -> Step(k, p, s) }
        return step.list().ofMaxSize(120)
    }

    @Property(tries = 300, seed = "20261204")
    fun `first come takes the oldest job`(
        @ForAll("steps") steps: List<Step>,
    ) = run(steps, FirstComeQueue(quota)) { model, _ -> setOf(model.open().first()) }

    @Property(tries = 300, seed = "20261204")
    fun `fewest left takes the narrowest job, or a late one`(
        @ForAll("steps") steps: List<Step>,
    ) = run(steps, FewestLeftQueue(ideal = { it.seconds }, quota = quota, lateFactor = 2.0)) { model, now ->
        val open = model.open()
        setOfNotNull(open.minBy { it.left }, open.filter { it.lateAt <= now }.minByOrNull { it.lateAt })
    }

    @Property(tries = 300, seed = "20261204")
    fun `fewest left without an ideal takes the narrowest job`(
        @ForAll("steps") steps: List<Step>,
    ) = run(steps, FewestLeftQueue(quota = quota)) { model, _ -> setOf(model.open().minBy { it.left }) }

    @Property(tries = 300, seed = "20261204")
    fun `fair share takes a job of the team that runs the fewest tasks`(
        @ForAll("steps") steps: List<Step>,
    ) = run(steps, FairShareQueue(quota)) { model, _ ->
        val open = model.open()
        val fewest = open.minOf { model.runningOf(it.team) }
        setOf(open.filter { model.runningOf(it.team) == fewest }.minBy { it.left })
    }

    private fun run(
        steps: List<Step>,
        queue: JobQueue,
        allowed: (QueueModel, Duration) -> Set<QueueModel.Job>,
    ) {
        val model = QueueModel(room)
        var now = 0.seconds
        for (step in steps) {
            when (step.kind) {
                Step.Kind.ADD -> add(model, queue, step, now)
                Step.Kind.TAKE -> take(model, queue, now, allowed)
                Step.Kind.GIVE_BACK -> settle(model, step) { id, task, job -> giveBack(queue, id, task, job) }
                Step.Kind.END -> settle(model, step) { id, task, _ -> queue.ended(id, task) }
                Step.Kind.REMOVE -> remove(model, queue, step)
                Step.Kind.WAIT -> now += step.size.seconds
            }
            assertEquals(model.waiting, queue.waiting, "waiting after $step")
            assertEquals(model.startable, queue.demand(now).tasks, "demand after $step")
        }
        drain(model, queue, now)
    }

    private fun add(
        model: QueueModel,
        queue: JobQueue,
        step: Step,
        now: Duration,
    ) {
        val id = SubmissionId.create(Instant.EPOCH, high = 0, low = model.jobs.size.toLong())
        val tasks = List(step.size) { it }
        val team = teams[step.pick % teams.size]
        queue.add(QueuedJob(submission = id, team = team, tasks = tasks, arrived = now, deadline = Duration.INFINITE))
        model.jobs += QueueModel.Job(id, team, lateAt = now + (2 * step.size).seconds, waiting = tasks.toMutableList())
    }

    private fun take(
        model: QueueModel,
        queue: JobQueue,
        now: Duration,
        allowed: (QueueModel, Duration) -> Set<QueueModel.Job>,
    ) {
        val pick = queue.take(now)
        if (model.open().isEmpty()) return assertNull(pick)
        assertNotNull(pick)
        val job = model.live(pick.submission)
        assertNotNull(job)
        assertTrue(job in allowed(model, now), "took $pick")
        assertTrue(job.waiting.remove(pick.task))
        job.running += pick.task
    }

    private fun settle(
        model: QueueModel,
        step: Step,
        apply: (SubmissionId, Int, QueueModel.Job) -> Unit,
    ) {
        val job = model.jobs.filter { it.running.isNotEmpty() }.let { if (it.isEmpty()) return else it[step.pick % it.size] }
        val task = job.running.first()
        job.running -= task
        apply(job.id, task, job)
    }

    private fun giveBack(
        queue: JobQueue,
        id: SubmissionId,
        task: Int,
        job: QueueModel.Job,
    ) {
        queue.giveBack(id, task)
        if (!job.removed) job.waiting.add(0, task)
    }

    private fun remove(
        model: QueueModel,
        queue: JobQueue,
        step: Step,
    ) {
        if (model.jobs.isEmpty()) return
        val job = model.jobs[step.pick % model.jobs.size]
        assertEquals(job.waiting.toList(), queue.remove(job.id))
        job.removed = true
        job.waiting.clear()
    }

    private fun drain(
        model: QueueModel,
        queue: JobQueue,
        now: Duration,
    ) {
        var left = model.open().sumOf { it.waiting.size }
        while (queue.take(now) != null) left--
        assertEquals(0, left, "tasks that could not be taken")
    }
}
