package io.bluebellramp.bench

import io.bluebellramp.runtime.ExitCode
import kotlinx.cli.ExperimentalCli
import kotlinx.cli.Subcommand

/** One subcommand. */
@OptIn(ExperimentalCli::class)
internal abstract class BenchCommand(
    name: String,
    summary: String,
) : Subcommand(name, summary) {
    /** What the program exits with, once the command has run. */
    var exitCode: Int = ExitCode.OK
        private set

    final override fun execute() {
        exitCode =
            try {
                run()
            } catch (e: UsageException) {
                System.err.println("$PROGRAM $name: ${e.message}")
                ExitCode.USAGE
            }
    }

    /** Runs the command and returns the exit code. */
    protected abstract fun run(): Int
}

/** An argument is wrong. */
internal class UsageException(
    message: String,
) : Exception(message)
