package io.bluebellramp.runtime

import kotlinx.cli.ArgParser
import kotlin.system.exitProcess

/** Prints a message of the parser and ends the process. The code is 0 after `--help` and another one after a wrong argument. */
typealias ParserExit = (message: String, code: Int) -> Nothing

/**
 * Returns a parser that prints the usage on standard error and exits with [ExitCode.USAGE] when an argument is wrong.
 *
 * The library exits with 127 by itself and offers no public way to choose another code.
 */
fun argumentParser(
    name: String,
    exit: ParserExit = ::printAndExit,
): ArgParser {
    val parser = ArgParser(name)
    val setter = ArgParser::class.java.getMethod("setOutputAndTerminate\$kotlinx_cli", Function2::class.java)
    setter.invoke(parser, { message: String, code: Int -> exit(message, if (code == ExitCode.OK) ExitCode.OK else ExitCode.USAGE) })
    return parser
}

private fun printAndExit(
    message: String,
    code: Int,
): Nothing {
    if (code == ExitCode.OK) println(message) else System.err.println(message)
    exitProcess(code)
}
