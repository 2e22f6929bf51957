package io.bluebellramp.cli

import io.bluebellramp.core.ServiceId
import io.bluebellramp.core.SubmissionId
import io.bluebellramp.core.TeamId
import io.bluebellramp.messages.Answer
import io.bluebellramp.messages.AnswerOutcome
import io.bluebellramp.messages.JobSubmission
import io.bluebellramp.messages.TaskSpecification
import io.bluebellramp.runtime.ExitCode
import io.bluebellramp.runtime.SettingsReader
import io.bluebellramp.runtime.SettingsResult
import io.bluebellramp.runtime.describe
import kotlinx.cli.ArgParser
import kotlinx.cli.ArgType
import kotlinx.cli.default
import java.nio.file.Path
import java.time.Instant

private val jobReader = SettingsReader("JobSubmission", JobSubmission.serializer())

/** Submits a job and prints its answer. */
internal class SubmitCommand : Command(name = "submit", summary = "Submit a job from a file or of equal tasks and wait for its answer") {
    override fun declareArguments(parser: ArgParser): CommandAction {
        val file by parser.option(ArgType.String, fullName = "file", description = "Job (JSON); the other options then have no effect")
        val service by parser.option(ArgType.String, fullName = "service", description = "Service").default("")
        val team by parser.option(ArgType.String, fullName = "team", description = "Team")
        val tasks by parser.option(ArgType.Int, fullName = "tasks", description = "Number of tasks").default(1)
        val payload by parser
            .option(ArgType.String, fullName = "payload", description = "Payload of each task; {n} is its number")
            .default("")
        val submission by parser.option(ArgType.String, fullName = "submission", description = "Submission id (UUIDv7); default a new one")
        val deadline by parser.option(ArgType.Int, fullName = "deadline", description = "Deadline (ms)")
        return CommandAction { session ->
            val id = SubmissionId(submission ?: SubmissionId.create(Instant.now()).value)
            val job =
                when (val path = file) {
                    null -> jobOfEqualTasks(id, service, team, tasks, payload, deadline)
                    else -> readJob(path) ?: return@CommandAction ExitCode.USAGE
                }
            val answer =
                withProgressBar(
                    submission = job.submission,
                    show = !session.output.json,
                    fetchProgress = { session.entry.progress(job.submission) },
                ) { session.entry.submit(job) }
            answer.printFailureOr(session.output) { printAnswer(session.output, it) }
        }
    }

    private fun jobOfEqualTasks(
        id: SubmissionId,
        service: String,
        team: String?,
        tasks: Int,
        payload: String,
        deadline: Int?,
    ) = JobSubmission(
        submission = id,
        service = ServiceId(service),
        team = team?.let(::TeamId),
        tasks = (0 until tasks).map { TaskSpecification(id = "task-$it", payload = payload.replace("{n}", it.toString())) },
        deadlineMillis = deadline?.toLong(),
    )

    private fun readJob(path: String): JobSubmission? =
        when (val result = jobReader.read(Path.of(path))) {
            is SettingsResult.Valid -> result.settings
            is SettingsResult.Invalid -> usageError(result.violations.joinToString("\n") { "$path: ${it.describe()}" }).let { null }
        }
}

/** Prints [answer] and returns the exit code. */
internal fun printAnswer(
    output: Output,
    answer: Answer,
): Int {
    output.print(answer, Answer.serializer()) { it.toText() }
    return if (answer.outcome == AnswerOutcome.COMPLETE) ExitCode.OK else ExitCode.REFUSED
}

private fun Answer.toText(): String =
    when (outcome) {
        AnswerOutcome.COMPLETE -> "complete: ${results.orEmpty().size} results after %.1f ms ($submission)".format(elapsedMillis)
        AnswerOutcome.NOT_RUN -> "not run: ${error?.message.orEmpty()} ($submission)"
        AnswerOutcome.FAILED -> "failed: ${error?.message.orEmpty()} ${startedTasksText()} ($submission)"
    }

private fun Answer.startedTasksText() = startedTasks?.let { "$it tasks started." } ?: "How many tasks started is unknown."
