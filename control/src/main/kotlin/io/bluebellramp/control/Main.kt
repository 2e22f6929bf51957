package io.bluebellramp.control

import io.bluebellramp.core.MemberId
import io.bluebellramp.core.SystemClock
import io.bluebellramp.messages.ControlSettings
import io.bluebellramp.messages.MemberAddress
import io.bluebellramp.replication.LogListener
import io.bluebellramp.replication.LogMember
import io.bluebellramp.replication.LogSettings
import io.bluebellramp.replication.LogStartResult
import io.bluebellramp.replication.LogStatus
import io.bluebellramp.replication.StorageError
import io.bluebellramp.runtime.Decision
import io.bluebellramp.runtime.ExitCode
import io.bluebellramp.runtime.RunningProgram
import io.bluebellramp.runtime.SettingsReader
import io.bluebellramp.runtime.SharedKey
import io.bluebellramp.runtime.logDecision
import io.bluebellramp.runtime.runServer
import io.prometheus.metrics.core.metrics.Histogram
import io.prometheus.metrics.model.registry.PrometheusRegistry
import kotlinx.coroutines.runBlocking
import org.tinylog.kotlin.Logger
import java.nio.file.Path
import kotlin.concurrent.thread
import kotlin.io.path.listDirectoryEntries
import kotlin.io.path.notExists
import kotlin.system.exitProcess
import kotlin.time.Duration.Companion.milliseconds

private const val PROGRAM_NAME = "bluebellramp-control"

/** Runs a control process until SIGTERM. */
fun main(args: Array<String>) =
    runServer(
        name = PROGRAM_NAME,
        args = args,
        reader = SettingsReader("ControlSettings", ControlSettings.serializer(), ::checkSettings),
        logFolder = { it.logFolder },
        instance = { it.member },
        start = ::startControl,
    )

private fun startControl(settings: ControlSettings): RunningProgram {
    val key = SharedKey.read(settings.keyFile, settings.listen.host)
    val registry = PrometheusRegistry()
    val machine = ConfigurationStateMachine()
    val isFounder = !settings.joining && isEmpty(Path.of(settings.dataFolder))
    val member = createLogMember(settings, key, machine, registry)
    val start = runBlocking { member.start() }
    check(start is LogStartResult.Started) {
        "the data folder ${settings.dataFolder} cannot be used: ${(start as LogStartResult.Refused).error}"
    }
    val control = Control(settings, member, machine, SystemClock, isFounder)
    registerMetrics(control, registry)
    return ControlProgram(settings, key, control, registry, closeLog = member::close).also { it.start() }
}

private fun isEmpty(folder: Path): Boolean = folder.notExists() || folder.listDirectoryEntries().isEmpty()

private fun createLogMember(
    settings: ControlSettings,
    key: SharedKey?,
    machine: ConfigurationStateMachine,
    registry: PrometheusRegistry,
): LogMember {
    val electionTimeout = settings.electionMillis.milliseconds
    val client = settings.memberHttpClient(key, connectTimeout = electionTimeout, timeout = electionTimeout)
    return LogMember(
        self = MemberAddress(settings.member, settings.address),
        foundingMembers = settings.members,
        joining = settings.joining,
        folder = Path.of(settings.dataFolder),
        stateMachine = machine,
        transport = HttpLogTransport(client),
        clock = SystemClock,
        settings = LogSettings(settings.electionMillis, settings.heartbeatMillis, settings.snapshotRecords),
        listener = ControlLogListener(settings.member, registry),
    )
}

/** Records how long log syncs take, and logs elections and storage failures. */
private class ControlLogListener(
    private val member: MemberId,
    registry: PrometheusRegistry,
) : LogListener {
    private val syncDurations =
        Histogram
            .builder()
            .name("bluebellramp_control_sync_seconds")
            .help("Time of a write to the log with its sync")
            .classicOnly()
            .register(registry)

    override fun onSync(nanos: Long) = syncDurations.observe(nanos / NANOS_PER_SECOND)

    override fun onLeadershipChange(status: LogStatus) {
        val leader = status.leader?.member ?: "none"
        logDecision(Decision(kind = "election", reason = "term ${status.term}: ${status.role.name.lowercase()}, leader $leader"))
    }

    override fun onStorageFailure(error: StorageError) {
        Logger.error("The replicated log of member $member has stopped after a storage failure: $error")
        endProcess()
    }

    override fun onError(cause: Throwable) {
        Logger.error(cause, "The replicated log of member $member has stopped after an error")
        endProcess()
    }

    override fun onFailedSend(cause: Exception) = Logger.error(cause, "A message of the replicated log could not be sent")

    /** Without its log the process would go on and do nothing. A restart reads what is on the disk. */
    private fun endProcess() {
        thread(name = "end") { exitProcess(ExitCode.FAILED) }
    }

    private companion object {
        const val NANOS_PER_SECOND = 1e9
    }
}
