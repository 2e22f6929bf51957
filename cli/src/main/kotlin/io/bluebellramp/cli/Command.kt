package io.bluebellramp.cli

import io.bluebellramp.runtime.ExitCode
import io.bluebellramp.runtime.argumentParser
import kotlinx.cli.ArgParser
import kotlinx.coroutines.runBlocking
import kotlinx.serialization.KSerializer

/**
 * One command of the command line.
 *
 * @property name the words that select it
 * @property summary what it does, in one line
 */
internal abstract class Command(
    val name: String,
    val summary: String,
) {
    val words: List<String> = name.split(' ')

    /** Parses [args] and runs the command. Returns the exit code. */
    fun run(args: List<String>): Int {
        val parser = argumentParser("$PROGRAM $name")
        val common = CommonOptions(parser)
        val action = declare(parser)
        parser.parse(args.toTypedArray())
        return when (val result = common.session()) {
            is SessionResult.Open -> result.session.use { runBlocking { action.execute(it) } }
            is SessionResult.Invalid -> usageError(result.message)
        }
    }

    /** Declares the options of the command and returns what to do once they are parsed. */
    protected abstract fun declare(parser: ArgParser): Action
}

/** What a command does once its arguments are parsed. */
internal fun interface Action {
    /** Runs it and returns the exit code. */
    suspend fun execute(session: Session): Int
}

/** Returns an action that prints what [read] gives, as JSON or as [text] says. */
internal fun <T> printing(
    serializer: KSerializer<T>,
    read: suspend (Session) -> CallResult<T>,
    text: (T) -> String,
) = Action { session ->
    read(session).report(session.output) { value ->
        session.output.print(value, serializer, text)
        ExitCode.OK
    }
}

/** Prints [message] as an error in the arguments. */
internal fun usageError(message: String): Int {
    System.err.println(message)
    return ExitCode.USAGE
}
