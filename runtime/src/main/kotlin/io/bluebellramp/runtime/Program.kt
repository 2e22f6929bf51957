package io.bluebellramp.runtime

import io.bluebellramp.messages.Violation
import kotlinx.cli.ArgType
import kotlinx.cli.default
import sun.misc.Signal
import java.nio.file.Path
import java.util.concurrent.CountDownLatch
import java.util.concurrent.atomic.AtomicReference
import kotlin.system.exitProcess

/** Exit codes of every program. */
object ExitCode {
    /** Did what was asked. */
    const val OK = 0

    /** Failed while running. */
    const val FAILED = 1

    /** Wrong arguments or settings; nothing was started. */
    const val USAGE = 2

    /** The system refused or did not complete what was asked. */
    const val REFUSED = 3
}

/** The version of this build. */
const val VERSION = "0.1.0"

/** A program that has started and can be stopped without cutting work. */
interface RunningProgram {
    /** Finishes what is in flight, then returns. */
    fun stop()
}

/**
 * Runs a server program: reads its arguments and settings, starts it, and on SIGTERM or SIGINT stops it and exits with 0.
 *
 * @param name name of the binary
 * @param reader reads the settings
 * @param logFolder tells the folder of the log file from the settings, or null for a log on the console
 * @param instance tells what sets this process apart from others of the same program, for the name of its log file
 * @param queuesLog false if the program bounds by itself what waits to be logged, see [configureLogging]
 * @param onReload called with the settings read again after SIGHUP; a file that is not valid is logged and changes nothing
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
    val file = config ?: usageError("$name: --config FILE is required")
    if (!check) configureLogging(reader.peek(Path.of(file))?.let { logFile(name, logFolder(it), instance(it)) }, queuesLog)
    val settings =
        when (val result = reader.read(Path.of(file))) {
            is SettingsResult.Valid -> result.settings
            is SettingsResult.Invalid -> usageError(result.violations.joinToString("\n") { "$file: ${it.wording()}" })
        }
    if (check) {
        println("$file: no errors")
        exitProcess(ExitCode.OK)
    }
    serve(name, reload = { program -> reload(reader, Path.of(file)) { onReload(program, it) } }) { start(settings) }
}

private fun <T> reload(
    reader: SettingsReader<T>,
    file: Path,
    use: (T) -> Unit,
) {
    when (val result = reader.read(file)) {
        is SettingsResult.Valid -> {
            logDecision(Decision(kind = "reload", reason = "the settings were read again"))
            use(result.settings)
        }

        is SettingsResult.Invalid -> {
            val reason = result.violations.joinToString("; ") { it.wording() }
            logDecision(Decision(kind = "reload_refused", reason = "the settings stay as they were: $reason"))
        }
    }
}

private fun logFile(
    name: String,
    folder: String?,
    instance: Any,
): Path? = folder?.let { Path.of(it, "$name-$instance.log") }

/** The violation in one line. */
fun Violation.wording(): String = "$path: $message"

private fun usageError(message: String): Nothing {
    System.err.println(message)
    exitProcess(ExitCode.USAGE)
}

private fun serve(
    name: String,
    reload: (RunningProgram) -> Unit,
    start: () -> RunningProgram,
) {
    val stopRequested = CountDownLatch(1)
    val running = AtomicReference<RunningProgram>()
    listOf("TERM", "INT").forEach { signal -> Signal.handle(Signal(signal)) { stopRequested.countDown() } }
    // Without a handler SIGHUP ends the process.
    Signal.handle(Signal("HUP")) { running.get()?.let(reload) }
    val program =
        try {
            start()
        } catch (e: Exception) {
            System.err.println("$name: ${e.message ?: e.javaClass.simpleName}")
            exitProcess(ExitCode.FAILED)
        }
    running.set(program)
    stopRequested.await()
    program.stop()
    exitProcess(ExitCode.OK)
}
