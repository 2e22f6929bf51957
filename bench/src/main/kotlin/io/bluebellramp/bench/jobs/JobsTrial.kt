package io.bluebellramp.bench.jobs

import io.bluebellramp.bench.trial.VirtualTime
import io.bluebellramp.core.JobId
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

/** A job as its caller sees it. */
internal class TrialJob(
    val kind: RequestKind,
    val arrivedAt: Duration,
    val runTimes: List<Duration>,
    val milliCpu: Int,
) {
    /** Time from its arrival in which it is worth all: by its true run time, which the product does not know. */
    val objective: Duration = runTimes.max() * kind.stretch + kind.allowance

    /** Core-seconds on a target of speed 1. */
    val work = runTimes.sumOf { it.inWholeMicroseconds } / MICROS * milliCpu / MILLIS
    var answer: JobAnswer? = null
    var answeredAt: Duration? = null

    private companion object {
        const val MICROS = 1e6
        const val MILLIS = 1000.0
    }
}

/** Plays the arrivals of [day] against the product's entries and agents, in virtual time. Callers come after [START_UP]. */
internal class JobsTrial(
    day: SiteModel,
    seed: Long,
    private val load: Double = 1.0,
) {
    private val site = day.copy(troubles = day.troubles.map { it.copy(at = it.at + START_UP) })
    private val lastArrival = START_UP + site.length
    private val end = lastArrival + REST
    private val random = Random(seed)
    private val time = VirtualTime()
    private val jobs = LinkedHashMap<JobId, TrialJob>()
    private val system = ModelSystem(site, time, Random(seed + 1), end, ::runTime)

    /** Runs it and returns the jobs in the order of their arrival. */
    fun run(): List<TrialJob> {
        time.after(START_UP) { site.arrivals.forEach { next(it) } }
        time.run(end)
        return jobs.values.toList()
    }

    private fun runTime(run: RunKey): Duration = jobs.getValue(run.task.job).runTimes[run.task.index]

    /** Draws arrivals at the highest rate that may be and leaves out those beyond the rate of the moment. */
    private fun next(arrivals: Arrivals) {
        val highest = arrivals.perSecond * load * (1 + arrivals.swing) * HIGHEST_BURST
        val gap = (-ln(1 - random.nextDouble()) / highest).seconds
        time.after(gap) {
            if (time.now > lastArrival) return@after
            val kind = drawKind(arrivals.mix)
            if (random.nextDouble() * highest < arrivals.rate(time.now) * load * burst(kind)) submit(kind)
            next(arrivals)
        }
    }

    private fun burst(kind: RequestKind): Double =
        site.troubles
            .filter { it.kind == Trouble.Kind.BURST && it.isOn(time.now) && (it.requests.isEmpty() || it.requests == kind.name) }
            .fold(1.0) { factor, trouble -> factor * trouble.factor }
            .coerceAtMost(HIGHEST_BURST)

    private fun drawKind(mix: Map<String, Double>): RequestKind {
        var left = random.nextDouble() * mix.values.sum()
        val name = mix.entries.firstOrNull { (_, weight) -> left.also { left -= weight } < weight }?.key ?: mix.keys.last()
        return site.kinds.first { it.name == name }
    }

    private fun submit(kind: RequestKind) {
        val work = kind.work.draw(random)
        val width =
            kind.width
                .draw(random)
                .roundToInt()
                .coerceAtLeast(1)
        val runTimes = List(width) { (work * (1 + kind.uneven * (2 * random.nextDouble() - 1))).milliseconds }
        val job = TrialJob(kind, time.now, runTimes, kind.milliCpu.draw(random).roundToInt())
        val id = JobId("%016x".format(jobs.size + 1))
        jobs[id] = job
        val estimate = work * (1 + kind.estimateOff * (2 * random.nextDouble() - 1))
        val step = StepRequest(width, job.milliCpu, MEMORY_MB, estimate.milliseconds)
        val queue =
            Queue(
                kind.name,
                "h",
                "/${kind.name}/",
                ModelSystem.SERVICE,
                kind.priority,
                kind.attempts,
                kind.stretch,
                kind.allowance.inWholeMilliseconds,
            )
        val timeout = maxOf(kind.patience, job.objective * PATIENCE)
        val entry = system.entries.random(random)
        val caller =
            Caller {
                job.answer = it
                job.answeredAt = time.now
            }
        entry.submit(JobRequest(id, queue, "", listOf(step), timeout), caller)
    }

    companion object {
        /** Time in which agents and targets find each other before callers come. */
        val START_UP = 1.seconds

        /** Time after the last arrival in which jobs may end. */
        private val REST = 10.seconds

        /** Bursts multiply the rate by this at most. */
        private const val HIGHEST_BURST = 4.0

        /** Callers wait for at least this many times the objective. */
        private const val PATIENCE = 4
        private const val MEMORY_MB = 64
    }
}
