package io.bluebellramp.cli

import io.bluebellramp.runtime.ExitCode
import io.bluebellramp.runtime.VERSION
import io.bluebellramp.runtime.configureLogging
import kotlin.system.exitProcess

internal const val PROGRAM = "bluebellrampctl"

private val commands: List<Command> =
    listOf(
        ConfigShowCommand(),
        ConfigDiffCommand(),
        ConfigApplyCommand(),
        ZoneListCommand(),
        TargetListCommand(),
        *availabilityCommands.toTypedArray(),
        MemberListCommand(),
        MemberAddCommand(),
        MemberRemoveCommand(),
        MemberReplaceCommand(),
        StatusCommand(),
        SubmitCommand(),
        RequestCommand(),
        CancelCommand(),
        ExplainCommand(),
    )

/** Runs the command that the first words of [args] select, and ends with its exit code. */
fun main(args: Array<String>) {
    configureLogging(file = null)
    val exitCode =
        when {
            args.isEmpty() || args[0] == "--help" || args[0] == "-h" -> printUsage()
            args[0] == "--version" -> printVersion()
            "--check" in args -> checkSettings(args.toList())
            else -> runCommand(args.toList())
        }
    exitProcess(exitCode)
}

private fun runCommand(args: List<String>): Int {
    val command = commands.firstOrNull { args.take(it.words.size) == it.words }
    if (command == null) {
        System.err.println("$PROGRAM: unknown command \"${args.take(2).joinToString(" ")}\"; see $PROGRAM --help")
        return ExitCode.USAGE
    }
    return command.run(args.drop(command.words.size))
}

private fun printUsage(): Int {
    val width = commands.maxOf { it.name.length }
    println("Usage: $PROGRAM COMMAND [options]")
    println("       $PROGRAM COMMAND --help | --version | --check --config FILE")
    println("Commands:")
    commands.forEach { println("  ${it.name.padEnd(width)}  ${it.summary}") }
    println("Exit codes: 0 done, 1 no answer, 2 wrong arguments or settings, 3 refused or not complete.")
    return ExitCode.OK
}

private fun printVersion(): Int {
    println("$PROGRAM $VERSION")
    return ExitCode.OK
}
