package io.bluebellramp.bench.trial

import io.bluebellramp.bench.IdealSchedule
import io.bluebellramp.bench.JobPlan
import io.bluebellramp.core.SubmissionId
import java.time.Instant
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Simulates one policy on one set of jobs in virtual time. */
internal class TrialRun(
    private val settings: TrialSettings,
    policy: TrialPolicy,
) {
    private val site = settings.site
    private val time = VirtualTimeScheduler()
    private val tally = TrialTally()
    private val random = Random(settings.seed)
    private val jobs = settings.jobs().map { job(it) }
    private val context =
        TrialContext(settings = settings, time = time, tally = tally, executors = List(site.executors) { executor(it) }, answer = ::answer)
    private val system = policy.create(context)

    /** Runs until every job has ended and returns the results. */
    fun run(): TrialSample {
        val last = jobs.maxOfOrNull { it.plan.arrivesAt } ?: Duration.ZERO
        jobs.forEach { job -> time.at(job.plan.arrivesAt + site.toClients) { system.submit(job) } }
        time.at(last + site.toClients) { checkFinished() }
        planScenario()
        time.run()
        return TrialSample(
            settings = settings,
            jobs = jobs,
            ideal = IdealSchedule.responses(jobs.map { it.plan }, settings.slots()),
            tally = tally,
        )
    }

    private fun job(plan: JobPlan): TrialJob {
        val id = SubmissionId.create(Instant.EPOCH, high = 0, low = plan.index.toLong())
        return TrialJob(plan = plan, submission = id, entry = random.nextInt(settings.entries))
    }

    private fun executor(index: Int): TrialExecutor {
        val isFaulty = index == 0
        return TrialExecutor(
            index = index,
            slots = site.slots,
            time = time,
            tally = tally,
            slowness = if (isFaulty && settings.scenario == TrialScenario.STRAGGLER) STRAGGLER_SLOWNESS else 1.0,
            isFailing = isFaulty && settings.scenario == TrialScenario.FAILING,
        )
    }

    private fun answer(job: TrialJob) {
        job.answeredAt = time.now + site.toClients
    }

    private fun checkFinished() {
        if (jobs.all { it.remainingTasks == 0 || it.isStopped }) context.isRunning = false else time.after(CHECK_PERIOD) { checkFinished() }
    }

    private fun planScenario() {
        if (settings.scenario == TrialScenario.CANCELS) time.at(settings.changeAt) { cancelHalfOfOpenJobs() }
        if (settings.scenario == TrialScenario.ZONE) {
            time.at(settings.changeAt) { system.zoneOut(TrialSettings.LEAVING_ZONE) }
            time.at(settings.returnAt) { system.zoneIn(TrialSettings.LEAVING_ZONE) }
        }
    }

    private fun cancelHalfOfOpenJobs() =
        jobs
            .filter { it.plan.arrivesAt + site.toClients < time.now && it.remainingTasks > 0 && !it.isStopped && random.nextBoolean() }
            .forEach { system.cancel(it) }

    private companion object {
        const val STRAGGLER_SLOWNESS = 5.0
        val CHECK_PERIOD = 1.seconds
    }
}
