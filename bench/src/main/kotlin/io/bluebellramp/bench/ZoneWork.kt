package io.bluebellramp.bench

import io.bluebellramp.core.ZoneId
import kotlin.math.ceil
import kotlin.math.floor
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

/** An availability zone was taken out of service or returned. [at] is when the change was accepted. */
internal data class ZoneChange(
    val zone: ZoneId,
    val at: Duration,
    val inService: Boolean,
)

/**
 * One task of a run. Times count from the start of the run.
 *
 * @property zone where it ran, or null if it never started
 * @property end when it ended, or when its job was answered if it never started
 */
internal data class RanTask(
    val arrived: Duration,
    val zone: ZoneId?,
    val started: Duration,
    val end: Duration,
)

/**
 * Compares the work done in the zones in service with what their slots allow.
 *
 * At each moment the slots in service allow as many tasks as there are slots or open tasks, whichever is fewer. Tasks that still run
 * in a zone that is out count neither as done nor as open.
 *
 * @param slots slots of each zone
 */
internal class ZoneWork(
    private val slots: Map<ZoneId, Int>,
    private val tasks: List<RanTask>,
    private val changes: List<ZoneChange>,
) {
    private sealed interface Step {
        val at: Duration

        class Open(
            override val at: Duration,
            val tasks: Int,
        ) : Step

        class Running(
            override val at: Duration,
            val zone: ZoneId,
            val tasks: Int,
        ) : Step

        class Change(
            override val at: Duration,
            val change: ZoneChange,
        ) : Step

        class Cut(
            override val at: Duration,
        ) : Step
    }

    private val steps = (taskSteps() + changes.map { Step.Change(it.at, it) }).sortedBy { it.at }

    /** The work of each second until [length], split where a zone changed. */
    fun slices(length: Duration): List<WorkSlice> {
        val cuts = cuts(length)
        val sums = cuts.zipWithNext { from, to -> Sum(from, to) }
        var place = 0
        sweep((steps + cuts.map { Step.Cut(it) }).sortedBy { it.at }) { from, to, done, allowed, open ->
            while (place < sums.size && sums[place].to <= from) place++
            sums.getOrNull(place)?.takeIf { from >= it.from }?.add(to - from, done, allowed, open)
        }
        return sums.map { it.slice() }
    }

    /** What followed each time a zone was taken out. */
    fun changes(): List<ZoneOutFigures> =
        changes.filter { !it.inService }.map { out ->
            val returned = changes.firstOrNull { it.zone == out.zone && it.inService && it.at > out.at }?.at
            val starts = tasks.filter { it.zone == out.zone }.map { it.started }
            ZoneOutFigures(
                zone = out.zone.value,
                outMillis = out.at.millis(),
                lastStartMillis =
                    starts.filter { it >= out.at && (returned == null || it < returned) }.maxOrNull()?.let {
                        (it - out.at)
                            .millis()
                    },
                inMillis = returned?.millis(),
                firstStartMillis = returned?.let { at -> starts.filter { it >= at }.minOrNull()?.let { (it - at).millis() } },
                fullWorkMillis = returned?.let { at -> fullWork(out.zone, at)?.let { (it - at).millis() } },
            )
        }

    private fun fullWork(
        zone: ZoneId,
        from: Duration,
    ): Duration? {
        val full = ceil((slots[zone] ?: 0) * FULL_SHARE).toInt()
        var running = 0
        for (step in steps) {
            if (step is Step.Running && step.zone == zone) running += step.tasks
            if (step.at >= from && running >= full) return step.at
        }
        return null
    }

    private fun cuts(length: Duration): List<Duration> {
        val whole = (0..floor(length.toDouble(DurationUnit.SECONDS)).toInt()).map { it.seconds }
        return (whole + changes.map { it.at }.filter { it in Duration.ZERO..length } + length).distinct().sorted()
    }

    private fun taskSteps(): List<Step> =
        tasks.flatMap { task ->
            val zone = task.zone
            val open = listOf(Step.Open(task.arrived, 1), Step.Open(task.end, -1))
            if (zone == null) open else open + listOf(Step.Running(task.started, zone, 1), Step.Running(task.end, zone, -1))
        }

    /** Calls [visit] with the start, the end, the tasks running, the tasks allowed and the slots of each stretch without a step. */
    private fun sweep(
        steps: List<Step>,
        visit: (from: Duration, to: Duration, done: Int, allowed: Int, open: Int) -> Unit,
    ) {
        val running = HashMap<ZoneId, Int>()
        val out = HashSet<ZoneId>()
        var waiting = 0
        steps.zipWithNext { step, next ->
            when (step) {
                is Step.Open -> waiting += step.tasks
                is Step.Running -> running.merge(step.zone, step.tasks, Int::plus)
                is Step.Change -> if (step.change.inService) out -= step.change.zone else out += step.change.zone
                is Step.Cut -> Unit
            }
            if (next.at > step.at) {
                val elsewhere = out.sumOf { running[it] ?: 0 }
                val inService = slots.filterKeys { it !in out }.values.sum()
                val done = running.values.sum() - elsewhere
                visit(step.at, next.at, done, minOf(inService, waiting - elsewhere), inService)
            }
        }
    }

    private class Sum(
        val from: Duration,
        val to: Duration,
    ) {
        private var done = 0.0
        private var allowed = 0.0
        private var slots = 0

        fun add(
            time: Duration,
            running: Int,
            mayRun: Int,
            inService: Int,
        ) {
            done += time.toDouble(DurationUnit.SECONDS) * running
            allowed += time.toDouble(DurationUnit.SECONDS) * mayRun
            slots = inService
        }

        fun slice() = WorkSlice(from.millis(), to.millis(), slots, done, allowed)
    }

    private companion object {
        /** Share of the slots of a zone that are busy when it works in full. */
        const val FULL_SHARE = 0.95
    }
}

private fun Duration.millis() = toDouble(DurationUnit.MILLISECONDS)

/** Reads a change from a line `MILLIS out ZONE` or `MILLIS in ZONE` (ms since the epoch), or returns null if it tells something else. */
internal fun zoneChange(
    line: String,
    startedAtMillis: Long,
): ZoneChange? {
    val (millis, word, zone) = line.trim().split(' ', limit = 3).takeIf { it.size == 3 } ?: return null
    if (word != "out" && word != "in") return null
    val at = millis.toLongOrNull() ?: return null
    return ZoneChange(ZoneId(zone), (at - startedAtMillis).milliseconds, inService = word == "in")
}
