package io.bluebellramp.bench

import io.bluebellramp.core.ZoneId
import kotlin.math.ceil
import kotlin.math.floor
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

/** Change that took an availability zone out of service or returned it. [at] is when the change was accepted. */
internal data class ZoneChange(
    val zone: ZoneId,
    val at: Duration,
    val inService: Boolean,
)

/**
 * Execution of one task of a run. Times are relative to the start of the run.
 *
 * @property zone where it ran, or null if it never started
 * @property end when it ended, or when its job was answered if it never started
 */
internal data class TaskExecution(
    val arrived: Duration,
    val zone: ZoneId?,
    val started: Duration,
    val end: Duration,
)

/**
 * Compares the work done in the zones in service with the work that their slots allow.
 *
 * The number of tasks allowed at each moment is the smaller of the slots in service and the open tasks. Tasks that still run in a
 * zone out of service count neither as done nor as open.
 *
 * @param slots number of slots of each zone
 */
internal class ZoneWork(
    private val slots: Map<ZoneId, Int>,
    private val tasks: List<TaskExecution>,
    private val changes: List<ZoneChange>,
) {
    private sealed interface Event {
        val at: Duration

        class OpenTasks(
            override val at: Duration,
            val tasks: Int,
        ) : Event

        class RunningTasks(
            override val at: Duration,
            val zone: ZoneId,
            val tasks: Int,
        ) : Event

        class ZoneInOrOut(
            override val at: Duration,
            val change: ZoneChange,
        ) : Event

        class SliceBoundary(
            override val at: Duration,
        ) : Event
    }

    private val events = (taskEvents() + changes.map { Event.ZoneInOrOut(it.at, it) }).sortedBy { it.at }

    /** Returns the work of each second until [length]. A second in which a zone changed is split at the change. */
    fun slices(length: Duration): List<WorkSlice> {
        val boundaries = boundaries(length)
        val sliceSums = boundaries.zipWithNext { from, to -> SliceSum(from, to) }
        var index = 0
        sweep((events + boundaries.map { Event.SliceBoundary(it) }).sortedBy { it.at }) { from, to, done, allowed, slotsInService ->
            while (index < sliceSums.size && sliceSums[index].to <= from) index++
            sliceSums.getOrNull(index)?.takeIf { from >= it.from }?.add(to - from, done, allowed, slotsInService)
        }
        return sliceSums.map { it.slice() }
    }

    /** Returns the timing of starts and work after each change that took a zone out of service. */
    fun changes(): List<ZoneOutageTiming> =
        changes.filter { !it.inService }.map { out ->
            val returned = changes.firstOrNull { it.zone == out.zone && it.inService && it.at > out.at }?.at
            val starts = tasks.filter { it.zone == out.zone }.map { it.started }
            ZoneOutageTiming(
                zone = out.zone.value,
                outMillis = out.at.millis(),
                lastStartMillis =
                    starts.filter { it >= out.at && (returned == null || it < returned) }.maxOrNull()?.let {
                        (it - out.at)
                            .millis()
                    },
                inMillis = returned?.millis(),
                firstStartMillis = returned?.let { at -> starts.filter { it >= at }.minOrNull()?.let { (it - at).millis() } },
                fullWorkMillis = returned?.let { at -> fullWorkTime(out.zone, at)?.let { (it - at).millis() } },
            )
        }

    private fun fullWorkTime(
        zone: ZoneId,
        from: Duration,
    ): Duration? {
        val full = ceil((slots[zone] ?: 0) * FULL_WORK_SHARE).toInt()
        var running = 0
        for (event in events) {
            if (event is Event.RunningTasks && event.zone == zone) running += event.tasks
            if (event.at >= from && running >= full) return event.at
        }
        return null
    }

    private fun boundaries(length: Duration): List<Duration> {
        val whole = (0..floor(length.toDouble(DurationUnit.SECONDS)).toInt()).map { it.seconds }
        return (whole + changes.map { it.at }.filter { it in Duration.ZERO..length } + length).distinct().sorted()
    }

    private fun taskEvents(): List<Event> =
        tasks.flatMap { task ->
            val zone = task.zone
            val open = listOf(Event.OpenTasks(task.arrived, 1), Event.OpenTasks(task.end, -1))
            if (zone == null) open else open + listOf(Event.RunningTasks(task.started, zone, 1), Event.RunningTasks(task.end, zone, -1))
        }

    /** Calls [visit] for each interval between two events with its start, end, running tasks, allowed tasks and slots in service. */
    private fun sweep(
        events: List<Event>,
        visit: (from: Duration, to: Duration, done: Int, allowed: Int, slotsInService: Int) -> Unit,
    ) {
        val running = HashMap<ZoneId, Int>()
        val out = HashSet<ZoneId>()
        var openTasks = 0
        events.zipWithNext { event, next ->
            when (event) {
                is Event.OpenTasks -> openTasks += event.tasks
                is Event.RunningTasks -> running.merge(event.zone, event.tasks, Int::plus)
                is Event.ZoneInOrOut -> if (event.change.inService) out -= event.change.zone else out += event.change.zone
                is Event.SliceBoundary -> Unit
            }
            if (next.at > event.at) {
                val runningOutOfService = out.sumOf { running[it] ?: 0 }
                val slotsInService = slots.filterKeys { it !in out }.values.sum()
                val done = running.values.sum() - runningOutOfService
                visit(event.at, next.at, done, minOf(slotsInService, openTasks - runningOutOfService), slotsInService)
            }
        }
    }

    private class SliceSum(
        val from: Duration,
        val to: Duration,
    ) {
        private var done = 0.0
        private var allowed = 0.0
        private var slots = 0

        fun add(
            time: Duration,
            running: Int,
            allowedToRun: Int,
            slotsInService: Int,
        ) {
            done += time.toDouble(DurationUnit.SECONDS) * running
            allowed += time.toDouble(DurationUnit.SECONDS) * allowedToRun
            slots = slotsInService
        }

        fun slice() = WorkSlice(from.millis(), to.millis(), slots, done, allowed)
    }

    private companion object {
        /** Share of busy slots from which a zone counts as fully used. */
        const val FULL_WORK_SHARE = 0.95
    }
}

private fun Duration.millis() = toDouble(DurationUnit.MILLISECONDS)

/** Parses a line `MILLIS out ZONE` or `MILLIS in ZONE` (ms since the epoch). Returns null for any other line. */
internal fun parseZoneChange(
    line: String,
    startedAtMillis: Long,
): ZoneChange? {
    val (millis, word, zone) = line.trim().split(' ', limit = 3).takeIf { it.size == 3 } ?: return null
    if (word != "out" && word != "in") return null
    val at = millis.toLongOrNull() ?: return null
    return ZoneChange(ZoneId(zone), (at - startedAtMillis).milliseconds, inService = word == "in")
}
