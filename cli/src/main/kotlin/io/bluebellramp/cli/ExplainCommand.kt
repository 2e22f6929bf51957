package io.bluebellramp.cli

import io.bluebellramp.runtime.ExitCode
import kotlinx.cli.ArgParser
import kotlinx.cli.ArgType

/** Reads the logs of all processes from standard input and prints the records of one job by time, and why it ended as it did. */
internal class ExplainCommand :
    Command(name = "explain", summary = "Print what the logs on standard input say about a job, and why it ended so") {
    override fun declareArguments(parser: ArgParser): CommandAction {
        val job by parser.argument(ArgType.String, fullName = "job", description = "Id of the job")
        return CommandAction {
            val explanation = Explanation.fromLogs(job, generateSequence(::readlnOrNull))
            explanation.lines.forEach(::println)
            println(explanation.cause)
            if (explanation.lines.isEmpty()) ExitCode.REFUSED else ExitCode.OK
        }
    }
}
