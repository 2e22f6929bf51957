package io.bluebellramp.entry

import io.bluebellramp.core.Clock
import io.bluebellramp.core.StrictJson
import io.bluebellramp.core.SubmissionId
import io.bluebellramp.messages.DispatchKind
import io.bluebellramp.messages.ErrorBody
import io.bluebellramp.messages.ErrorCode
import io.bluebellramp.messages.JobSubmission
import io.bluebellramp.messages.RequestSubmission
import io.bluebellramp.messages.Service
import io.bluebellramp.messages.TaskSpecification
import io.bluebellramp.messages.Violation
import io.bluebellramp.runtime.SchemaValidator
import kotlinx.serialization.KSerializer
import kotlinx.serialization.SerializationException
import java.security.MessageDigest
import java.time.Duration
import java.util.HexFormat
import kotlin.time.toJavaDuration

/** The result of parsing a request body. */
internal sealed interface ParseResult {
    /** The body is valid. */
    data class Valid(
        val submission: SubmissionSpec,
    ) : ParseResult

    /** The body is invalid. */
    data class Invalid(
        val error: ErrorBody,
    ) : ParseResult
}

/** Parses the request bodies of callers and reports every violation of the schema. */
internal class SubmissionParser(
    private val clock: Clock,
) {
    /** Parses a job. */
    fun parseJob(text: String): ParseResult =
        parse(text, "JobSubmission", JobSubmission.serializer()) { job, digest ->
            SubmissionSpec(
                id = job.submission,
                digest = digest,
                service = job.service,
                team = job.team,
                kind = DispatchKind.TASK,
                tasks = job.tasks,
                deadlineMillis = job.deadlineMillis,
                idempotent = job.idempotent,
            )
        }

    /** Parses a request, which becomes a submission of one task. */
    fun parseRequest(text: String): ParseResult =
        parse(text, "RequestSubmission", RequestSubmission.serializer()) { request, digest ->
            SubmissionSpec(
                id = request.submission,
                digest = digest,
                service = request.service,
                team = request.team,
                kind = DispatchKind.REQUEST,
                tasks = listOf(TaskSpecification(id = REQUEST_TASK_ID, payload = request.payload)),
                deadlineMillis = request.deadlineMillis,
                idempotent = request.idempotent,
            )
        }

    private fun <T> parse(
        text: String,
        type: String,
        serializer: KSerializer<T>,
        convert: (T, String) -> SubmissionSpec,
    ): ParseResult {
        val decoded =
            try {
                StrictJson.decodeFromString(serializer, text)
            } catch (e: SerializationException) {
                return invalid(
                    type,
                    SchemaValidator.violations(text, type).ifEmpty {
                        listOf(
                            Violation(
                                "$",
                                e.message
                                    .orEmpty()
                                    .lines()
                                    .first(),
                            ),
                        )
                    },
                )
            }
        val submission = convert(decoded, digest(type, StrictJson.encodeToString(serializer, decoded)))
        if (!isWithinBounds(submission) || (submission.hasNonStringFields() && QUOTED_SCALAR.containsMatchIn(text))) {
            val violations = SchemaValidator.violations(text, type)
            if (violations.isNotEmpty()) return invalid(type, violations)
        }
        return checkAge(submission) ?: checkTaskIds(submission) ?: ParseResult.Valid(submission)
    }

    /** Checks the bounds of the schema cheaply. The slower validator runs only if this fails. */
    private fun isWithinBounds(submission: SubmissionSpec): Boolean {
        val deadline = submission.deadlineMillis
        return SubmissionId.parse(submission.id.value) != null &&
            ID_PATTERN.matches(submission.service.value) &&
            (submission.team == null || ID_PATTERN.matches(submission.team.value)) &&
            (deadline == null || deadline in 1..MAX_DEADLINE_MILLIS) &&
            submission.tasks.size in 1..MAX_TASKS &&
            submission.tasks.all { it.isWithinBounds() }
    }

    /** True if a field is set whose type is not a string. */
    private fun SubmissionSpec.hasNonStringFields() =
        deadlineMillis != null || idempotent || tasks.any { it.declaredMillis != null || it.declaredMegabytes != null }

    private fun TaskSpecification.isWithinBounds() =
        id.length in 1..MAX_ID_LENGTH &&
            payload.length <= MAX_PAYLOAD_LENGTH &&
            (declaredMillis ?: 0) >= 0 &&
            (declaredMegabytes ?: 0) >= 0

    private fun checkAge(submission: SubmissionSpec): ParseResult.Invalid? {
        val age = Duration.between(submission.id.instant, clock.wall())
        return when {
            age > MAX_AGE -> {
                invalidId(ErrorCode.EXPIRED_SUBMISSION, "The submission id is older than ${MAX_AGE.toMinutes()} min.")
            }

            age < MAX_CLOCK_SKEW.negated() -> {
                invalidId(ErrorCode.INVALID_SUBMISSION, "The submission id is more than ${MAX_CLOCK_SKEW.toSeconds()} s in the future.")
            }

            else -> {
                null
            }
        }
    }

    private fun invalidId(
        code: ErrorCode,
        message: String,
    ) = ParseResult.Invalid(ErrorBody(code, message, listOf(Violation("$.submission", message))))

    private fun checkTaskIds(submission: SubmissionSpec): ParseResult.Invalid? {
        val seen = HashSet<String>()
        val violations =
            submission.tasks.mapIndexedNotNull { i, task ->
                if (seen.add(task.id)) null else Violation("$.tasks[$i].id", "the id ${task.id} is used twice")
            }
        return if (violations.isEmpty()) {
            null
        } else {
            ParseResult.Invalid(
                ErrorBody(ErrorCode.INVALID_BODY, "Task ids must be unique.", violations),
            )
        }
    }

    private fun invalid(
        type: String,
        violations: List<Violation>,
    ): ParseResult.Invalid {
        val code = if (violations.all { it.path == "$.submission" }) ErrorCode.INVALID_SUBMISSION else ErrorCode.INVALID_BODY
        return ParseResult.Invalid(ErrorBody(code, "The body is not a valid $type.", violations))
    }

    private fun digest(
        type: String,
        canonical: String,
    ): String {
        val hash = MessageDigest.getInstance("SHA-256")
        hash.update(type.toByteArray())
        return HexFormat.of().formatHex(hash.digest(canonical.toByteArray()))
    }

    companion object {
        /** The id of the only task of a request, which its result carries. */
        const val REQUEST_TASK_ID = "request"
        private const val MAX_TASKS = 1_800
        private const val MAX_ID_LENGTH = 64
        private const val MAX_PAYLOAD_LENGTH = 65_536
        private const val MAX_DEADLINE_MILLIS = 600_000L

        /** Matches a quoted number or boolean. The decoder accepts it, but the schema does not. */
        private val QUOTED_SCALAR = Regex(""""(deadlineMillis|declaredMillis|declaredMegabytes|idempotent)"\s*:\s*"""")
        private val ID_PATTERN = Regex("^[a-z0-9][a-z0-9.-]{0,62}$")

        /** The members keep a claim for longer than this after the time in its id, so a repeated id is still recognized. */
        private val MAX_AGE: Duration = SubmissionId.MAX_AGE.toJavaDuration()

        /** The voting members give no verdict on an id whose time is further in the future. */
        private val MAX_CLOCK_SKEW: Duration = SubmissionId.CLOCK_SKEW.toJavaDuration()
    }
}

/** Returns why [submission] can never run with [service], or null if it may. */
internal fun limitError(
    submission: SubmissionSpec,
    service: Service,
): ErrorBody? {
    if (submission.tasks.size > service.jobTasks) {
        val violation = Violation("$.tasks", "there must be at most ${service.jobTasks} tasks but there are ${submission.tasks.size}")
        return ErrorBody(ErrorCode.NEVER_RUNNABLE, "The job has too many tasks for the service.", listOf(violation))
    }
    val violations =
        submission.tasks.mapIndexedNotNull { i, task ->
            val declared = task.declaredMegabytes ?: 0
            if (declared <= service.memoryMegabytes) return@mapIndexedNotNull null
            Violation("$.tasks[$i].declaredMegabytes", "$declared MB is more than the ${service.memoryMegabytes} MB of an executor")
        }
    return if (violations.isEmpty()) null else ErrorBody(ErrorCode.NEVER_RUNNABLE, "A task does not fit any executor.", violations)
}
