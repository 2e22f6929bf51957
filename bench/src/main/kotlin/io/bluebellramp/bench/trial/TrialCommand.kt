package io.bluebellramp.bench.trial

import io.bluebellramp.bench.BenchCommand
import io.bluebellramp.bench.ReportJson
import io.bluebellramp.bench.UsageException
import io.bluebellramp.placement.FewestTasksLeftQueue
import io.bluebellramp.runtime.ExitCode
import kotlinx.cli.ArgType
import kotlinx.cli.default
import kotlinx.cli.delimiter
import kotlinx.cli.optional
import kotlinx.serialization.SerializationException
import java.io.IOException
import java.nio.file.Files
import java.nio.file.Path
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Simulates the placement policies in virtual time and compares them with the ideal schedule and with baselines. */
internal class TrialCommand : BenchCommand("trial", "Run the placement policies in virtual time") {
    private val sites by option(ArgType.String, "sites", description = "brekke, ogun").delimiter(",")
    private val scenarios by option(
        ArgType.String,
        "scenarios",
        description = "plain, bursts, cancels, failing, straggler, zone",
    ).delimiter(",")
    private val loads by option(ArgType.Double, "loads", description = "Loads, 1.0 keeps every slot busy").delimiter(",")
    private val entries by option(ArgType.Int, "entries", description = "Numbers of entries").delimiter(",")
    private val policies by option(ArgType.String, "policies", description = "Policies; all if absent").delimiter(",")
    private val seconds by option(ArgType.Int, "seconds", description = "Virtual time over which jobs arrive (s)").default(300)
    private val seeds by option(ArgType.Int, "seeds", description = "Number of seeds").default(3)
    private val seed by option(ArgType.Int, "seed", description = "First seed").default(1)
    private val prefetch by option(ArgType.Int, "prefetch", description = "Places in the short queue of an agent").default(0)
    private val newsMillis by option(ArgType.Int, "news-millis", description = "Time between reports of demand (ms)").default(20)
    private val lateFactor by
        option(ArgType.Double, "late-factor", description = "Multiple of the ideal response after which a job is late")
            .default(FewestTasksLeftQueue.LATE_FACTOR)
    private val lateShare by
        option(ArgType.Double, "late-share", description = "Share of the starts for late jobs").default(FewestTasksLeftQueue.LATE_SHARE)
    private val out by option(ArgType.String, "out", description = "File for the report (JSON)")
    private val compare by option(ArgType.String, "compare", description = "Report to compare with the one named after it; runs nothing")
    private val other by argument(ArgType.String, description = "The later report of --compare").optional()

    override fun run(): Int {
        compare?.let { return compare(it) }
        TrialTable.printHeader()
        val rows = cells().flatMap { cell -> chosenPolicies().map { row(cell, it) } }
        out?.let { Files.writeString(Path.of(it), ReportJson.encodeToString(TrialReport.serializer(), report(rows))) }
        return ExitCode.OK
    }

    private fun cells(): List<TrialSettings> =
        chosen("sites", sites, TrialSite.entries) { it.name.lowercase() }.flatMap { site ->
            chosen("scenarios", scenarios.ifEmpty { listOf("plain") }, TrialScenario.entries) { it.name.lowercase() }.flatMap { scenario ->
                loads.ifEmpty { DEFAULT_LOADS }.flatMap { load ->
                    entries.ifEmpty { DEFAULT_ENTRIES }.map { settings(site, scenario, load, it) }
                }
            }
        }

    private fun settings(
        site: TrialSite,
        scenario: TrialScenario,
        load: Double,
        entries: Int,
    ) = TrialSettings(
        site = site,
        load = load,
        entries = entries,
        scenario = scenario,
        length = seconds.seconds,
        seed = seed.toLong(),
        tuning = tuning(),
    )

    private fun tuning() =
        TrialTuning(prefetch = prefetch, demandReportPeriod = newsMillis.milliseconds, lateFactor = lateFactor, lateShare = lateShare)

    private fun row(
        cell: TrialSettings,
        policy: TrialPolicy,
    ): TrialRow {
        val samples = List(seeds) { TrialRun(cell.copy(seed = cell.seed + it), policy).run() }
        return TrialRow.of(policy, samples).also { TrialTable.printRow(it) }
    }

    private fun report(rows: List<TrialRow>) =
        TrialReport(
            seconds = seconds,
            seeds = List(seeds) { seed.toLong() + it },
            prefetch = prefetch,
            newsMillis = newsMillis,
            rows = rows,
        )

    private fun chosenPolicies() = chosen("policies", policies, TrialPolicy.entries) { it.label }

    private fun <T> chosen(
        option: String,
        names: List<String>,
        all: List<T>,
        name: (T) -> String,
    ): List<T> {
        if (names.isEmpty()) return all
        return names.map { wanted -> all.find { name(it) == wanted } ?: throw UsageException("--$option: unknown \"$wanted\"") }
    }

    private fun compare(before: String): Int {
        val after = other ?: throw UsageException("--compare A.json needs a second report: --compare A.json B.json")
        TrialTable.printComparison(read(before), read(after))
        return ExitCode.OK
    }

    private fun read(file: String): TrialReport =
        try {
            ReportJson.decodeFromString(TrialReport.serializer(), Files.readString(Path.of(file)))
        } catch (e: IOException) {
            throw UsageException("cannot read $file: ${e.message}")
        } catch (e: SerializationException) {
            throw UsageException("$file is no report of a trial: ${e.message}")
        }

    private companion object {
        val DEFAULT_LOADS = listOf(0.5, 0.8, 0.95, 1.2)
        val DEFAULT_ENTRIES = listOf(1, 3)
    }
}
