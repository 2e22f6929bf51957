package io.bluebellramp.cli

import io.bluebellramp.runtime.ExitCode
import kotlinx.cli.ArgParser
import kotlinx.cli.ArgType

/** Orders the log lines of one job across processes and names the cause of its outcome. Reads the logs from standard input. */
internal class ExplainCommand :
    Command(name = "explain", summary = "Print what the logs on standard input say about a job, and why it ended so") {
    override fun declare(parser: ArgParser): Action {
        val job by parser.argument(ArgType.String, fullName = "job", description = "Id of the job")
        return Action {
            val explanation = Explanation.of(job, generateSequence(::readlnOrNull))
            explanation.lines.forEach(::println)
            println(explanation.cause)
            if (explanation.lines.isEmpty()) ExitCode.REFUSED else ExitCode.OK
        }
    }
}
