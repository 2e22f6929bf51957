package io.bluebellramp.runtime

import io.bluebellramp.messages.Violation
import kotlinx.cli.ArgType
import kotlinx.cli.default
import sun.misc.Signal
import java.nio.file.Path
import java.util.concurrent.CountDownLatch
import java.util.concurrent.atomic.AtomicReference
import kotlin.system.exitProcess

/** Exit codes of all programs. */
object ExitCode {
    /** The request was carried out. */
    const val OK = 0

    /** The program failed to start or while it ran. */
    const val FAILED = 1

    /** The arguments or settings are invalid; nothing was started. */
    const val USAGE = 2

    /** The system refused the request or did not complete it. */
    const val REFUSED = 3
}

/** The version of this build. */
const val VERSION = "0.1.0"

/** A program that has started and can be shut down gracefully. */
interface RunningProgram {
    /** Finishes the work in progress and returns when the program has stopped. */
    fun stop()
}

/**
 * Runs a server program: reads its arguments and settings, starts it, and on SIGTERM or SIGINT stops it and exits with 0.
 *
 * @param name name of the executable
 * @param reader reads and checks the settings
 * @param logFolder returns the folder of the log file from the settings, or null to log to the console
 * @param instance returns the id of this process among others of the same program, for the name of its log file
 * @param queuesLog true to log asynchronously through an unbounded queue, false if the program limits its log lines by itself; see
 *   [configureLogging]
 * @param onReload called with the new settings when SIGHUP has reloaded the file; an invalid file is logged and has no other effect
 * @param start starts the program and returns once it listens
 */
fun <T> runServer(
    name: String,
    args: Array<String>,
    reader: SettingsReader<T>,
    logFolder: (T) -> String?,
    instance: (T) -> Any,
    queuesLog: Boolean = true,
    onReload: (RunningProgram, T) -> Unit = { _, _ -> },
    start: (T) -> RunningProgram,
) {
    if ("--version" in args) {
        println("$name $VERSION")
        exitProcess(ExitCode.OK)
    }
    val parser = argumentParser(name)
    val config by parser.option(ArgType.String, fullName = "config", description = "Settings file (JSON)")
    val check by parser.option(ArgType.Boolean, fullName = "check", description = "Check the settings and exit").default(false)
    parser.option(ArgType.Boolean, fullName = "version", description = "Print the version and exit").default(false)
    parser.parse(args)
    val file = config ?: exitWithUsageError("$name: --config FILE is required")
    if (!check) configureLogging(reader.readUnchecked(Path.of(file))?.let { logFile(name, logFolder(it), instance(it)) }, queuesLog)
    val settings =
        when (val result = reader.read(Path.of(file))) {
            is SettingsResult.Valid -> result.settings
            is SettingsResult.Invalid -> exitWithUsageError(result.violations.joinToString("\n") { "$file: ${it.describe()}" })
        }
    if (check) {
        println("$file: no errors")
        exitProcess(ExitCode.OK)
    }
    runUntilSignal(name, onHangup = { program -> reloadSettings(reader, Path.of(file)) { onReload(program, it) } }) { start(settings) }
}

private fun <T> reloadSettings(
    reader: SettingsReader<T>,
    file: Path,
    onValid: (T) -> Unit,
) {
    when (val result = reader.read(file)) {
        is SettingsResult.Valid -> {
            logDecision(Decision(kind = "reload", reason = "the settings file was reloaded"))
            onValid(result.settings)
        }

        is SettingsResult.Invalid -> {
            val reason = result.violations.joinToString("; ") { it.describe() }
            logDecision(Decision(kind = "reload_refused", reason = "the settings file is invalid and was not applied: $reason"))
        }
    }
}

private fun logFile(
    name: String,
    folder: String?,
    instance: Any,
): Path? = folder?.let { Path.of(it, "$name-$instance.log") }

/** Returns the violation as one line of text. */
fun Violation.describe(): String = "$path: $message"

private fun exitWithUsageError(message: String): Nothing {
    System.err.println(message)
    exitProcess(ExitCode.USAGE)
}

private fun runUntilSignal(
    name: String,
    onHangup: (RunningProgram) -> Unit,
    start: () -> RunningProgram,
) {
    val stopRequested = CountDownLatch(1)
    val startedProgram = AtomicReference<RunningProgram>()
    listOf("TERM", "INT").forEach { signal -> Signal.handle(Signal(signal)) { stopRequested.countDown() } }
    // Without a handler, SIGHUP would end the process.
    Signal.handle(Signal("HUP")) { startedProgram.get()?.let(onHangup) }
    val program =
        try {
            start()
        } catch (e: Exception) {
            System.err.println("$name: ${e.message ?: e.javaClass.simpleName}")
            exitProcess(ExitCode.FAILED)
        }
    startedProgram.set(program)
    stopRequested.await()
    program.stop()
    exitProcess(ExitCode.OK)
}
