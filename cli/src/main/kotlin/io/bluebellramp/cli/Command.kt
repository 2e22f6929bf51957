package io.bluebellramp.cli

import io.bluebellramp.runtime.ExitCode
import io.bluebellramp.runtime.argumentParser
import kotlinx.cli.ArgParser
import kotlinx.coroutines.runBlocking
import kotlinx.serialization.KSerializer

/**
 * A command of the command line.
 *
 * @property name the words that select it, such as `config show`
 * @property summary the line that the help prints about it
 */
internal abstract class Command(
    val name: String,
    val summary: String,
) {
    val words: List<String> = name.split(' ')

    /** Parses [args] and runs the command. Returns the exit code. */
    fun run(args: List<String>): Int {
        val parser = argumentParser("$PROGRAM $name")
        val commonOptions = CommonOptions(parser)
        val action = declareArguments(parser)
        parser.parse(args.toTypedArray())
        return when (val result = commonOptions.openSession()) {
            is SessionResult.Open -> result.session.use { runBlocking { action.execute(it) } }
            is SessionResult.Invalid -> usageError(result.message)
        }
    }

    /** Declares the arguments and options of the command on [parser]. They may be read only in the returned action, after parsing. */
    protected abstract fun declareArguments(parser: ArgParser): CommandAction
}

/** The action of a command, executed once its arguments are parsed. */
internal fun interface CommandAction {
    /** Executes the action and returns the exit code. */
    suspend fun execute(session: Session): Int
}

/** Returns an action that prints the result of [read] as JSON or, for people, as [toText] formats it. */
internal fun <T> printAction(
    serializer: KSerializer<T>,
    read: suspend (Session) -> CallResult<T>,
    toText: (T) -> String,
) = CommandAction { session ->
    read(session).printFailureOr(session.output) { value ->
        session.output.print(value, serializer, toText)
        ExitCode.OK
    }
}

/** Prints [message] to standard error and returns the exit code for wrong arguments or settings. */
internal fun usageError(message: String): Int {
    System.err.println(message)
    return ExitCode.USAGE
}
