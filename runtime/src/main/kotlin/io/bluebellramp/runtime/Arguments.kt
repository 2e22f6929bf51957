package io.bluebellramp.runtime

import kotlinx.cli.ArgParser
import kotlin.system.exitProcess

/** Prints a message of the argument parser and exits. The code is 0 after `--help` and not 0 after an invalid argument. */
typealias ParserExitHandler = (message: String, code: Int) -> Nothing

/**
 * Returns a parser that prints the usage on standard error and exits with [ExitCode.USAGE] if an argument is invalid.
 *
 * By default the library exits with 127. It has no public way to choose another code, so the handler is set by reflection.
 */
fun argumentParser(
    name: String,
    exit: ParserExitHandler = ::printAndExit,
): ArgParser {
    val parser = ArgParser(name)
    val exitSetter = ArgParser::class.java.getMethod("setOutputAndTerminate\$kotlinx_cli", Function2::class.java)
    exitSetter.invoke(parser, { message: String, code: Int -> exit(message, if (code == ExitCode.OK) ExitCode.OK else ExitCode.USAGE) })
    return parser
}

private fun printAndExit(
    message: String,
    code: Int,
): Nothing {
    if (code == ExitCode.OK) println(message) else System.err.println(message)
    exitProcess(code)
}
