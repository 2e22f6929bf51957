package io.bluebellramp.bench.standin

import io.bluebellramp.bench.BenchCommand
import io.bluebellramp.bench.UsageException
import io.bluebellramp.bench.configuredEntries
import io.bluebellramp.core.Address
import io.bluebellramp.core.ServiceId
import io.bluebellramp.core.SiteId
import io.bluebellramp.core.SystemClock
import io.bluebellramp.core.ZoneId
import io.bluebellramp.runtime.ExitCode
import io.bluebellramp.runtime.createHttpClient
import kotlinx.cli.ArgType
import kotlinx.cli.default
import kotlinx.cli.multiple
import kotlinx.cli.required
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeoutOrNull
import sun.misc.Signal
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Simulates many agents and their targets and counts tasks that start more than once. */
internal class AgentsCommand : BenchCommand("agents", "Stand in for many agents until SIGTERM and count tasks that start twice") {
    private val count by option(ArgType.Int, "count", description = "Number of agents").required()
    private val entries by option(ArgType.String, "entry", description = "HOST:PORT of an entry; may be given again").multiple()
    private val config by option(ArgType.String, "config", description = "Settings file that names the entries; --entry goes first")
    private val slots by option(ArgType.Int, "slots", description = "Slots that the configuration gives each agent").default(8)
    private val zones by option(ArgType.String, "zone", description = "Zone; may be given again").required().multiple()
    private val service by option(ArgType.String, "service", description = "Service of the targets").default("permit-desk")
    private val site by option(ArgType.String, "site", description = "Site of the agents").default("vestland")
    private val executesSleeps by option(
        ArgType.Boolean,
        "tasks-as-told",
        description = "Tasks sleep as their payload tells; otherwise they end at once",
    ).default(false)
    private val seconds by option(ArgType.Int, "seconds", description = "Time to run (s); 0 for no bound").default(0)

    override fun run(): Int {
        val settings = settings()
        val stop = CompletableDeferred<Unit>()
        listOf("TERM", "INT").forEach { signal -> Signal.handle(Signal(signal)) { stop.complete(Unit) } }
        val agents = StandInAgents(settings, createHttpClient(connectTimeout = CONNECT_TIMEOUT), SystemClock)
        runBlocking(Dispatchers.Default) {
            agents.start()
            if (seconds > 0) withTimeoutOrNull(seconds.seconds) { report(agents, stop) } else report(agents, stop)
            agents.stop(SHUTDOWN_TIMEOUT)
        }
        println(agents.counts.summary())
        println("started above the slots: ${agents.startedAboveSlots}")
        agents.counts.repeated.forEach { (call, starts) -> println("  ${call.submission} ${call.task} ${call.kind}: $starts starts") }
        return if (agents.counts.repeated.isEmpty() && agents.startedAboveSlots == 0) ExitCode.OK else ExitCode.FAILED
    }

    private suspend fun report(
        agents: StandInAgents,
        stop: CompletableDeferred<Unit>,
    ) {
        var before = agents.counts.starts
        var second = 0
        while (withTimeoutOrNull(REPORT_PERIOD) { stop.await() } == null) {
            val now = agents.counts.starts
            second++
            println("$second s: ${now - before} starts/s, ${agents.running} running, ${agents.permitted} of $count permitted")
            before = now
        }
    }

    private fun settings(): StandInSettings {
        if (count < 1) throw UsageException("--count must be at least 1")
        if (slots < 1) throw UsageException("--slots must be at least 1")
        return StandInSettings(
            count = count,
            entries = entries.map { Address(it) }.ifEmpty { configuredEntries(config) },
            slots = slots,
            zones = zones.map { ZoneId(it) },
            service = ServiceId(service),
            site = SiteId(site),
            executesSleeps = executesSleeps,
        )
    }

    private companion object {
        val REPORT_PERIOD: Duration = 1.seconds
        val CONNECT_TIMEOUT = 5.seconds

        /** Time for running tasks to end while the agents shut down. */
        val SHUTDOWN_TIMEOUT = 5.seconds
    }
}
