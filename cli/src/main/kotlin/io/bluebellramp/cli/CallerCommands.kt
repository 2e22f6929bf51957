package io.bluebellramp.cli

import io.bluebellramp.core.ServiceId
import io.bluebellramp.core.SubmissionId
import io.bluebellramp.core.TeamId
import io.bluebellramp.messages.RequestSubmission
import io.bluebellramp.runtime.ExitCode
import kotlinx.cli.ArgParser
import kotlinx.cli.ArgType
import kotlinx.cli.default
import java.time.Instant

/** Sends a single request and prints its answer. */
internal class RequestCommand : Command(name = "request", summary = "Send a single request and wait for its answer") {
    override fun declareArguments(parser: ArgParser): CommandAction {
        val service by parser.option(ArgType.String, fullName = "service", description = "Service").default("")
        val team by parser.option(ArgType.String, fullName = "team", description = "Team")
        val payload by parser.option(ArgType.String, fullName = "payload", description = "Payload").default("")
        val idempotent by parser
            .option(ArgType.Boolean, fullName = "idempotent", description = "The request may run twice without harm")
            .default(false)
        val submission by parser.option(ArgType.String, fullName = "submission", description = "Submission id (UUIDv7); default a new one")
        return CommandAction { session ->
            val request =
                RequestSubmission(
                    submission = SubmissionId(submission ?: SubmissionId.create(Instant.now()).value),
                    service = ServiceId(service),
                    payload = payload,
                    team = team?.let(::TeamId),
                    idempotent = idempotent,
                )
            session.entry.request(request).printFailureOr(session.output) { printAnswer(session.output, it) }
        }
    }
}

/** Cancels a submission and prints its answer. */
internal class CancelCommand : Command(name = "cancel", summary = "Cancel a submission and print its answer") {
    override fun declareArguments(parser: ArgParser): CommandAction {
        val submission by parser.argument(ArgType.String, fullName = "submission", description = "Submission id")
        return CommandAction { session ->
            val id =
                SubmissionId.parse(submission)
                    ?: return@CommandAction usageError("$PROGRAM: \"$submission\" is not a submission id (UUIDv7)")
            session.entry.cancel(id).printFailureOr(session.output) {
                printAnswer(session.output, it)
                ExitCode.OK
            }
        }
    }
}
