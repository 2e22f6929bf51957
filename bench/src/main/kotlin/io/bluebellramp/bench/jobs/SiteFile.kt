package io.bluebellramp.bench.jobs

import io.bluebellramp.bench.UsageException
import io.bluebellramp.core.ZoneId
import org.tomlj.Toml
import org.tomlj.TomlArray
import org.tomlj.TomlTable
import java.io.IOException
import java.nio.file.Path
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Reads a deployment and one of its days from a site file of the users. Content that the simulation does not model is ignored. */
internal object SiteFile {
    private val disturbanceKinds =
        mapOf(
            "burst" to Disturbance.Kind.BURST,
            "srv_slow" to Disturbance.Kind.SLOW,
            "srv_crash" to Disturbance.Kind.CRASHED,
            "node_cut" to Disturbance.Kind.CUT,
            "srv_grey errors" to Disturbance.Kind.FAILING,
            "srv_grey hang" to Disturbance.Kind.HANGING,
        )

    /** @param day name of a day, or null for the normal traffic of the site without disturbances */
    fun read(
        file: Path,
        day: String?,
    ): SiteModel {
        val site =
            try {
                Toml.parse(file)
            } catch (e: IOException) {
                throw UsageException("cannot read $file: ${e.message}")
            }
        site.errors().firstOrNull()?.let { throw UsageException("$file: ${it.message}") }
        val dayTable =
            day?.let { name ->
                site.tables("day").find { it.text("name") == name }
                    ?: throw UsageException("$file has no day $name")
            }
        val thinning = site.number("thin", 1.0)
        return SiteModel(
            kinds = site.tables("classes").map { kind(it, thinning) },
            arrivals = (dayTable ?: site).tables("traffic").ifEmpty { site.tables("traffic") }.map { arrivals(it, thinning) },
            targets = targets(site),
            entries = machines(site, "front"),
            networkDelay = site.table("net").number("cross_zone_ms", 1.0).milliseconds,
            disturbances = dayTable?.tables("faults").orEmpty().mapNotNull { disturbance(it) },
            length = site.number("length_s", 30.0).seconds,
        )
    }

    private fun kind(
        table: TomlTable,
        thinning: Double,
    ): RequestKind {
        val jobs = table.table("jobs")
        return RequestKind(
            name = table.text("name"),
            work = distribution(table.table("work_ms"), 1 / thinning),
            width = distribution(jobs.table("width")),
            milliCpu = distribution(jobs.table("cpu")),
            runTimeVariation = jobs.number("uneven", 0.0),
            estimateError = jobs.number("est_off", 0.0),
            stretch = jobs.number("stretch", 1.0),
            allowance = table.number("aim_ms", 0.0).milliseconds,
            callerTimeout = table.number("deadline_ms", 1500.0).milliseconds,
            attempts = table.number("attempts", 1.0).toInt(),
            priority = table.number("priority", 0.0).toInt(),
            worth = table.number("worth", 1.0),
            lateWorth = table.number("late_worth", 0.0),
        )
    }

    private fun arrivals(
        table: TomlTable,
        thinning: Double,
    ): Arrivals {
        val shape = table.table("shape")
        val mix = table.table("mix")
        return Arrivals(
            zone = ZoneId(table.text("zone")),
            perSecond = table.number("per_s", 0.0) * thinning,
            mix = mix.keySet().associateWith { mix.number(it, 0.0) },
            amplitude = shape.number("swing", 0.0),
            period = shape.number("period_s", 10.0).seconds,
            phase = shape.number("phase", 0.0),
        )
    }

    private fun targets(site: TomlTable): List<TargetKind> {
        val service = site.tables("services").firstOrNull() ?: throw UsageException("the site file has no service")
        val node = service.table("node")
        val speeds = service.numbers("speeds").ifEmpty { listOf(1.0) }
        val sizes = node.numbers("sizes").ifEmpty { listOf(1.0) }
        val names = node.texts("kinds").ifEmpty { listOf("") }
        return machines(site, "side").mapIndexed { it, zone ->
            TargetKind(
                zone = zone,
                milliCpu = (node.number("cpu", 0.0) * sizes[it % sizes.size]).toInt(),
                memoryMb = (node.number("mem_mb", 0.0) * sizes[it % sizes.size]).toInt(),
                speed = speeds[it % speeds.size],
                name = names[it % names.size],
            )
        }
    }

    /** Returns the zone of each VM of [kind]. */
    private fun machines(
        site: TomlTable,
        kind: String,
    ): List<ZoneId> =
        site.tables("machines").filter { it.text("class") == kind }.flatMap { machine ->
            List(machine.number("count", 1.0).toInt()) { ZoneId(machine.text("zone")) }
        }

    private fun disturbance(table: TomlTable): Disturbance? {
        val kind = disturbanceKinds["${table.text("kind")} ${table.text("how")}"] ?: disturbanceKinds[table.text("kind")] ?: return null
        return Disturbance(
            kind = kind,
            at = table.number("at", 0.0).seconds,
            duration = table.number("for_s", 5.0).seconds,
            share = table.number("share", DEFAULT_SHARE),
            factor = table.number("x", 2.0),
            requestKind = table.text("class"),
        )
    }

    private fun distribution(
        table: TomlTable,
        factor: Double = 1.0,
    ) = LogNormalDistribution(
        table.number("mean", 1.0) * factor,
        table.number("spread", 0.0),
        table.number("max", Double.MAX_VALUE / factor) * factor,
    )

    private fun TomlTable.tables(key: String): List<TomlTable> = getArray(key)?.asList().orEmpty().filterIsInstance<TomlTable>()

    private fun TomlTable.table(key: String): TomlTable = getTable(key) ?: Toml.parse("")

    private fun TomlTable.text(key: String) = getString(key).orEmpty()

    private fun TomlTable.number(
        key: String,
        default: Double,
    ): Double = (get(key) as? Number)?.toDouble() ?: default

    private fun TomlTable.numbers(key: String) =
        getArray(key)
            ?.asList()
            .orEmpty()
            .filterIsInstance<Number>()
            .map { it.toDouble() }

    private fun TomlTable.texts(key: String) = getArray(key)?.asList().orEmpty().filterIsInstance<String>()

    private fun TomlArray.asList() = toList()

    /** Default share of the targets that a disturbance affects. */
    private const val DEFAULT_SHARE = 0.15
}
