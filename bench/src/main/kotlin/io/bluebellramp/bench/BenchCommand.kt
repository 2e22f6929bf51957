package io.bluebellramp.bench

import io.bluebellramp.runtime.ExitCode
import kotlinx.cli.ExperimentalCli
import kotlinx.cli.Subcommand

/** Base class of the subcommands. It maps a [UsageException] to the exit code for wrong usage. */
@OptIn(ExperimentalCli::class)
internal abstract class BenchCommand(
    name: String,
    summary: String,
) : Subcommand(name, summary) {
    /** Exit code of the program, valid after [execute]. */
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

/** A command line argument or an input file is invalid. */
internal class UsageException(
    message: String,
) : Exception(message)
