package io.bluebellramp.bench.jobs

import io.bluebellramp.bench.BenchCommand
import io.bluebellramp.bench.ReportJson
import io.bluebellramp.bench.UsageException
import io.bluebellramp.runtime.ExitCode
import kotlinx.cli.ArgType
import kotlinx.cli.default
import kotlinx.cli.required
import kotlinx.serialization.builtins.ListSerializer
import java.nio.file.Files
import java.nio.file.Path

/** Simulates the arrivals of a site file against the entries and agents for best-effort jobs, in virtual time. */
internal class JobsCommand : BenchCommand("jobs", "Play the arrivals of a site file against entries and agents, in virtual time") {
    private val site by option(ArgType.String, "site", description = "Site file (TOML)").required()
    private val day by option(ArgType.String, "day", description = "Day of the site file; its plain traffic if absent")
    private val load by option(ArgType.Double, "load", description = "Times the traffic of the day").default(1.0)
    private val scale by option(ArgType.Double, "scale", description = "Times the entries, targets and traffic of the site").default(1.0)
    private val links by option(ArgType.Choice<LinkLayout>(), "links", description = "Links between entries and agents")
        .default(LinkLayout.SUBSETS)
    private val seeds by option(ArgType.Int, "seeds", description = "Number of seeds").default(3)
    private val seed by option(ArgType.Int, "seed", description = "First seed").default(1)
    private val out by option(ArgType.String, "out", description = "File for the rows (JSON)")

    override fun run(): Int {
        if (load <= 0) throw UsageException("--load must be above 0")
        if (seeds < 1) throw UsageException("--seeds must be at least 1")
        if (scale <= 0) throw UsageException("--scale must be above 0")
        val model = SiteFile.read(Path.of(site), day).scaled(scale)
        val trials = List(seeds) { JobsTrial(model, seed.toLong() + it, load, links) }
        val jobs = trials.flatMap { it.run() }
        val rows = JobsReport.rows(jobs)
        println("seeds $seed to ${seed + seeds - 1}, load $load, ${model.targets.size} targets, ${model.entries.size} entries")
        val traffic = trials.map { it.traffic }.reduce(LinkTraffic::plus)
        println(traffic.summary(model, seeds))
        // Each takes processor time of an entry and an agent, which the simulation leaves out.
        println("%.2f dispatches a job".format(traffic.dispatches.toDouble() / jobs.size.coerceAtLeast(1)))
        println(JobsRow.HEADER)
        rows.forEach { println(it.summary()) }
        out?.let { Files.writeString(Path.of(it), ReportJson.encodeToString(ListSerializer(JobsRow.serializer()), rows)) }
        return ExitCode.OK
    }
}
