package io.bluebellramp.bench

import io.bluebellramp.bench.jobs.JobsCommand
import io.bluebellramp.bench.standin.AgentsCommand
import io.bluebellramp.bench.trial.TrialCommand
import io.bluebellramp.runtime.VERSION
import io.bluebellramp.runtime.argumentParser
import io.bluebellramp.runtime.configureLogging
import kotlinx.cli.ExperimentalCli
import kotlin.system.exitProcess

internal const val PROGRAM = "bluebellramp-bench"

/** Runs the subcommand that the first of [args] names. */
@OptIn(ExperimentalCli::class)
fun main(args: Array<String>) {
    configureLogging(file = null)
    if (args.firstOrNull() == "--version") {
        println("$PROGRAM $VERSION")
        return
    }
    if ("--check" in args) exitProcess(checkSettings(args.toList()))
    val commands = listOf(LoadCommand(), StartsCommand(), AgentsCommand(), TrialCommand(), JobsCommand(), FaultyTargetCommand())
    val parser = argumentParser(PROGRAM)
    parser.subcommands(*commands.toTypedArray())
    parser.parse(if (args.isEmpty()) arrayOf("--help") else args)
    exitProcess(commands.first { it.name == args.first() }.exitCode)
}
