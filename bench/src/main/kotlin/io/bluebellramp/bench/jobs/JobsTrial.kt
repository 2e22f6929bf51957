package io.bluebellramp.bench.jobs

import io.bluebellramp.bench.trial.VirtualTimeScheduler
import io.bluebellramp.core.JobId
import io.bluebellramp.core.ZoneId
import io.bluebellramp.jobs.Caller
import io.bluebellramp.jobs.JobAnswer
import io.bluebellramp.jobs.JobRequest
import io.bluebellramp.jobs.RunKey
import io.bluebellramp.jobs.StepRequest
import io.bluebellramp.messages.Queue
import kotlin.math.ln
import kotlin.math.roundToInt
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Job as seen by its caller. */
internal class SimulatedJob(
    val kind: RequestKind,
    val arrivedAt: Duration,
    val runTimes: List<Duration>,
    val milliCpu: Int,
) {
    /** Time from its arrival in which the answer has its full value. It depends on the true run time, which the scheduler does not know. */
    val objective: Duration = runTimes.max() * kind.stretch + kind.allowance

    /** Processor need in core-seconds on a target of speed 1. */
    val work = runTimes.sumOf { it.inWholeMicroseconds } / MICROS_PER_SECOND * milliCpu / MILLI_CPUS_PER_CORE
    var answer: JobAnswer? = null
    var answeredAt: Duration? = null

    private companion object {
        const val MICROS_PER_SECOND = 1e6
        const val MILLI_CPUS_PER_CORE = 1000.0
    }
}

/** Simulates the arrivals of [day] against the real schedulers and run managers, in virtual time. Jobs arrive from [START_UP_TIME] on. */
internal class JobsTrial(
    day: SiteModel,
    seed: Long,
    private val load: Double = 1.0,
    links: LinkLayout = LinkLayout.SUBSETS,
) {
    private val site = day.copy(disturbances = day.disturbances.map { it.copy(at = it.at + START_UP_TIME) })
    private val lastArrival = START_UP_TIME + site.length
    private val end = lastArrival + DRAIN_TIME
    private val random = Random(seed)
    private val time = VirtualTimeScheduler()
    private val jobs = LinkedHashMap<JobId, SimulatedJob>()
    private val system = SimulatedSystem(site, time, Random(seed + 1), end, links, ::runTime)

    /** Messages between entries and agents so far. */
    val traffic: LinkTraffic get() = system.traffic

    /** Runs the simulation and returns the jobs in order of arrival. */
    fun run(): List<SimulatedJob> {
        time.after(START_UP_TIME) { site.arrivals.forEach { scheduleNextArrival(it) } }
        time.run(end)
        return jobs.values.toList()
    }

    private fun runTime(run: RunKey): Duration = jobs.getValue(run.task.job).runTimes[run.task.index]

    /** Schedules a Poisson process with varying rate by thinning: arrivals are drawn at the highest rate and dropped at random. */
    private fun scheduleNextArrival(arrivals: Arrivals) {
        val highest = arrivals.perSecond * load * (1 + arrivals.amplitude) * MAX_BURST_FACTOR
        val gap = (-ln(1 - random.nextDouble()) / highest).seconds
        time.after(gap) {
            if (time.now > lastArrival) return@after
            val kind = drawKind(arrivals.mix)
            if (random.nextDouble() * highest < arrivals.rate(time.now) * load * burstFactor(kind)) submit(kind, arrivals.zone)
            scheduleNextArrival(arrivals)
        }
    }

    private fun burstFactor(kind: RequestKind): Double =
        site.disturbances
            .filter {
                it.kind == Disturbance.Kind.BURST && it.isActive(time.now) &&
                    (it.requestKind.isEmpty() || it.requestKind == kind.name)
            }.fold(1.0) { factor, disturbance -> factor * disturbance.factor }
            .coerceAtMost(MAX_BURST_FACTOR)

    private fun drawKind(mix: Map<String, Double>): RequestKind {
        var left = random.nextDouble() * mix.values.sum()
        val name = mix.entries.firstOrNull { (_, weight) -> left.also { left -= weight } < weight }?.key ?: mix.keys.last()
        return site.kinds.first { it.name == name }
    }

    private fun submit(
        kind: RequestKind,
        zone: ZoneId,
    ) {
        val work = kind.work.draw(random)
        val width =
            kind.width
                .draw(random)
                .roundToInt()
                .coerceAtLeast(1)
        val runTimes = List(width) { (work * (1 + kind.runTimeVariation * (2 * random.nextDouble() - 1))).milliseconds }
        val job = SimulatedJob(kind, time.now, runTimes, kind.milliCpu.draw(random).roundToInt())
        val id = JobId("%016x".format(jobs.size + 1))
        jobs[id] = job
        val estimate = work * (1 + kind.estimateError * (2 * random.nextDouble() - 1))
        val step = StepRequest(width, job.milliCpu, MEMORY_MB, estimate.milliseconds)
        val queue =
            Queue(
                kind.name,
                "h",
                "/${kind.name}/",
                SimulatedSystem.SERVICE,
                kind.priority,
                kind.attempts,
                kind.stretch,
                kind.allowance.inWholeMilliseconds,
            )
        val timeout = maxOf(kind.callerTimeout, job.objective * MIN_TIMEOUT_OBJECTIVES)
        val entry = system.entriesIn(zone).random(random)
        val caller =
            Caller {
                job.answer = it
                job.answeredAt = time.now
            }
        entry.submit(JobRequest(id, queue, "", listOf(step), timeout), caller)
    }

    companion object {
        /** Time for agents, targets and entries to connect before the first job arrives. */
        val START_UP_TIME = 1.seconds

        /** Time after the last arrival for open jobs to end. */
        private val DRAIN_TIME = 10.seconds

        /** Maximum factor of all bursts together on the rate of arrivals. */
        private const val MAX_BURST_FACTOR = 4.0

        /** Minimum timeout of a job, as a multiple of its objective. */
        private const val MIN_TIMEOUT_OBJECTIVES = 4
        private const val MEMORY_MB = 64
    }
}
