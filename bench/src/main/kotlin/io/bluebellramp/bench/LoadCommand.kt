package io.bluebellramp.bench

import io.bluebellramp.core.ServiceId
import io.bluebellramp.core.SystemClock
import io.bluebellramp.core.TeamId
import io.bluebellramp.core.ZoneId
import io.bluebellramp.runtime.ExitCode
import kotlinx.cli.ArgType
import kotlinx.cli.default
import kotlinx.cli.multiple
import kotlinx.cli.required
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.runBlocking
import java.nio.file.Files
import java.nio.file.Path
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Generates an open-loop load on a running system and checks every answer. */
internal class LoadCommand : BenchCommand("load", "Load a running system and check every answer") {
    private val entries by option(ArgType.String, "entry", description = "URL of an entry; may be given again").multiple()
    private val config by option(ArgType.String, "config", description = "Settings file that names the entries; --entry goes first")
    private val service by option(ArgType.String, "service", description = "Service to call").required()
    private val load by option(ArgType.Double, "load", description = "Run time of all tasks over the time of all slots").default(0.8)
    private val slots by option(ArgType.Int, "slots", description = "Slots of the service in all").default(88)
    private val seconds by option(ArgType.Int, "seconds", description = "Time over which jobs arrive (s)").default(30)
    private val seed by option(ArgType.Int, "seed", description = "Seed of the jobs").default(1)
    private val width by option(ArgType.Double, "width", description = "Mean number of tasks of a job").default(18.0)
    private val maxWidth by option(ArgType.Int, "widest", description = "Most tasks of a job").default(1800)
    private val timeScale by option(ArgType.Double, "time-scale", description = "Factor on every run time").default(1.0)
    private val burstEvery by option(ArgType.Int, "burst-every", description = "Time between bursts (s); 0 for none").default(0)
    private val burstJobs by option(ArgType.Int, "burst-jobs", description = "Jobs of a burst").default(10)
    private val requests by option(ArgType.Double, "requests", description = "Single requests a second").default(0.0)
    private val requestMillis by option(ArgType.Int, "request-millis", description = "Run time of a request (ms)").default(20)
    private val idempotent by option(ArgType.Boolean, "idempotent", description = "Mark requests as idempotent").default(false)
    private val cancelAt by option(ArgType.Int, "cancel-at", description = "Time of a cancellation wave (s); may be given again").multiple()
    private val cancelShare by option(
        ArgType.Double,
        "cancel-share",
        description = "Share of the open jobs that a wave cancels",
    ).default(0.5)
    private val resubmits by option(
        ArgType.Int,
        "resubmits",
        description = "Resubmissions under the same id after a broken call",
    ).default(0)
    private val deadline by option(
        ArgType.Int,
        "deadline",
        description = "Deadline of each submission (ms); 0 for the service's",
    ).default(0)
    private val team by option(ArgType.String, "team", description = "Team of the jobs")
    private val marks by option(ArgType.String, "mark", description = "SECOND:TEXT to note in the output; may be given again").multiple()
    private val scrapes by option(ArgType.String, "scrape", description = "URL of /metrics to read before and after").multiple()
    private val pids by option(ArgType.Int, "pid", description = "Process of this machine whose processor time counts").multiple()
    private val startsFiles by option(
        ArgType.String,
        "starts",
        description = "Starts file of a sample target, for starts a second",
    ).multiple()
    private val zones by option(
        ArgType.String,
        "zone",
        description = "ZONE:SLOTS=FILE,FILE: slots and starts files of an availability zone; may be given again",
    ).multiple()
    private val changesFile by option(
        ArgType.String,
        "changes",
        description = "File of lines MILLIS out|in ZONE, written when a change is accepted; read at the end",
    )
    private val historyFile by option(ArgType.String, "history", description = "File for one JSON line per submission")
    private val out by option(ArgType.String, "out", description = "File for the report (JSON)")

    override fun run(): Int {
        val settings = settings()
        val report = runBlocking(Dispatchers.Default) { LoadRun(settings, SystemClock).use { it.run() } }
        println(report.summary())
        out?.let { Files.writeString(Path.of(it), ReportJson.encodeToString(LoadReport.serializer(), report)) }
        return when {
            report.wrong > 0 -> ExitCode.FAILED
            report.slowdown.samples == 0L -> ExitCode.REFUSED
            else -> ExitCode.OK
        }
    }

    private fun settings() =
        LoadSettings(
            entries = entries.map { it.trimEnd('/') }.ifEmpty { configuredEntries(config).map { "http://$it" } },
            service = ServiceId(service),
            team = team?.let { TeamId(it) },
            workload = workload(),
            requests =
                RequestLoad(perSecond = requests, runTime = requestMillis.milliseconds, idempotent = idempotent),
            cancels = CancelWaves(at = cancelAt.map { it.seconds }, share = cancelShare),
            resubmits = resubmits,
            deadline = if (deadline > 0) deadline.milliseconds else null,
            marks = marks.map(::mark),
            scrapes = scrapes,
            pids = pids,
            startsFiles = startsFiles.map { Path.of(it) },
            zones = zones.map { zone(it) },
            changesFile = changesFile?.let { Path.of(it) },
            historyFile = historyFile?.let { Path.of(it) },
        )

    private fun workload() =
        WorkloadSettings(
            load = requireAtLeast("load", load, 0.0),
            slots = requireAtLeast("slots", slots, 1),
            length = requireAtLeast("seconds", seconds, 1).seconds,
            seed = seed.toLong(),
            meanWidth = requireAtLeast("width", width, 1.0),
            maxWidth = requireAtLeast("widest", maxWidth, 1),
            timeScale = requireAtLeast("time-scale", timeScale, 0.0),
            burstEvery = if (burstEvery > 0) burstEvery.seconds else null,
            burstJobs = burstJobs,
        )

    private fun mark(text: String): Mark {
        val second = text.substringBefore(':').toIntOrNull() ?: throw UsageException("--mark must be SECOND:TEXT, not \"$text\"")
        return Mark(second = second, text = text.substringAfter(':', ""))
    }

    private fun zone(text: String): ZoneTargets {
        val (zone, slots, files) =
            ZONE_OPTION.matchEntire(text)?.destructured
                ?: throw UsageException("--zone must be ZONE:SLOTS=FILE,FILE")
        return ZoneTargets(ZoneId(zone), slots.toInt(), files.split(',').map { Path.of(it) })
    }

    private fun <T : Comparable<T>> requireAtLeast(
        name: String,
        value: T,
        minimum: T,
    ): T = if (value >= minimum) value else throw UsageException("--$name must be at least $minimum")

    private companion object {
        val ZONE_OPTION = Regex("(.+):([0-9]+)=(.+)")
    }
}

/** Single requests that are sent in addition to the jobs. */
internal data class RequestLoad(
    val perSecond: Double,
    val runTime: Duration,
    val idempotent: Boolean,
)

/** Times at which a [share] of the open jobs is cancelled. */
internal data class CancelWaves(
    val at: List<Duration>,
    val share: Double,
)

/** Settings of a load run. */
internal data class LoadSettings(
    val entries: List<String>,
    val service: ServiceId,
    val team: TeamId?,
    val workload: WorkloadSettings,
    val requests: RequestLoad,
    val cancels: CancelWaves,
    val resubmits: Int,
    val deadline: Duration?,
    val marks: List<Mark>,
    val scrapes: List<String>,
    val pids: List<Int>,
    val startsFiles: List<Path>,
    val zones: List<ZoneTargets>,
    val changesFile: Path?,
    val historyFile: Path?,
)
