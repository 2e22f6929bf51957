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

/** What came of reading a body. */
internal sealed interface ReadResult {
    /** The body is whole. */
    data class Valid(
        val submission: NewSubmission,
    ) : ReadResult

    /** The body is refused. */
    data class Invalid(
        val error: ErrorBody,
    ) : ReadResult
}

/** Reads the bodies of callers and finds every violation in them. */
internal class SubmissionReader(
    private val clock: Clock,
) {
    /** Reads a job. */
    fun job(text: String): ReadResult =
        read(text, "JobSubmission", JobSubmission.serializer()) { job, digest ->
            NewSubmission(
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

    /** Reads a request. It becomes a submission of one task. */
    fun request(text: String): ReadResult =
        read(text, "RequestSubmission", RequestSubmission.serializer()) { request, digest ->
            NewSubmission(
                id = request.submission,
                digest = digest,
                service = request.service,
                team = request.team,
                kind = DispatchKind.REQUEST,
                tasks = listOf(TaskSpecification(id = REQUEST_TASK, payload = request.payload)),
                deadlineMillis = request.deadlineMillis,
                idempotent = request.idempotent,
            )
        }

    private fun <T> read(
        text: String,
        type: String,
        serializer: KSerializer<T>,
        convert: (T, String) -> NewSubmission,
    ): ReadResult {
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
        if (!isPlain(submission) || (submission.hasOptions() && QUOTED.containsMatchIn(text))) {
            val violations = SchemaValidator.violations(text, type)
            if (violations.isNotEmpty()) return invalid(type, violations)
        }
        return checkTime(submission) ?: checkTasks(submission) ?: ReadResult.Valid(submission)
    }

    /** A cheap check of what the schema bounds; the validator is asked only if it fails. */
    private fun isPlain(submission: NewSubmission): Boolean {
        val deadline = submission.deadlineMillis
        return SubmissionId.parse(submission.id.value) != null &&
            ID.matches(submission.service.value) &&
            (submission.team == null || ID.matches(submission.team.value)) &&
            (deadline == null || deadline in 1..MAX_DEADLINE_MILLIS) &&
            submission.tasks.size in 1..MAX_TASKS &&
            submission.tasks.all { it.isPlain() }
    }

    /** True if a field is set that is no text. */
    private fun NewSubmission.hasOptions() =
        deadlineMillis != null || idempotent || tasks.any { it.declaredMillis != null || it.declaredMegabytes != null }

    private fun TaskSpecification.isPlain() =
        id.length in 1..MAX_ID_LENGTH &&
            payload.length <= MAX_PAYLOAD &&
            (declaredMillis ?: 0) >= 0 &&
            (declaredMegabytes ?: 0) >= 0

    private fun checkTime(submission: NewSubmission): ReadResult.Invalid? {
        val age = Duration.between(submission.id.instant, clock.wall())
        return when {
            age > OLDEST -> {
                refusedId(ErrorCode.EXPIRED_SUBMISSION, "The submission id is older than ${OLDEST.toMinutes()} min.")
            }

            age < NEWEST.negated() -> {
                refusedId(ErrorCode.INVALID_SUBMISSION, "The submission id is more than ${NEWEST.toSeconds()} s in the future.")
            }

            else -> {
                null
            }
        }
    }

    private fun refusedId(
        code: ErrorCode,
        message: String,
    ) = ReadResult.Invalid(ErrorBody(code, message, listOf(Violation("$.submission", message))))

    private fun checkTasks(submission: NewSubmission): ReadResult.Invalid? {
        val seen = HashSet<String>()
        val violations =
            submission.tasks.mapIndexedNotNull { i, task ->
                if (seen.add(task.id)) null else Violation("$.tasks[$i].id", "the id ${task.id} is used twice")
            }
        return if (violations.isEmpty()) {
            null
        } else {
            ReadResult.Invalid(
                ErrorBody(ErrorCode.INVALID_BODY, "Task ids must be unique.", violations),
            )
        }
    }

    private fun invalid(
        type: String,
        violations: List<Violation>,
    ): ReadResult.Invalid {
        val code = if (violations.all { it.path == "$.submission" }) ErrorCode.INVALID_SUBMISSION else ErrorCode.INVALID_BODY
        return ReadResult.Invalid(ErrorBody(code, "The body is not a valid $type.", violations))
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
        /** The task id of the only result of a request. */
        const val REQUEST_TASK = "request"
        private const val MAX_TASKS = 1_800
        private const val MAX_ID_LENGTH = 64
        private const val MAX_PAYLOAD = 65_536
        private const val MAX_DEADLINE_MILLIS = 600_000L

        /** The decoder takes a number or a truth value in quotes, which the schema does not allow. */
        private val QUOTED = Regex(""""(deadlineMillis|declaredMillis|declaredMegabytes|idempotent)"\s*:\s*"""")
        private val ID = Regex("^[a-z0-9][a-z0-9.-]{0,62}$")

        /** The members remember a claim for longer than this after the time inside the id. */
        private val OLDEST: Duration = SubmissionId.LIFE.toJavaDuration()

        /** Control members give an id that lies further in the future no verdict. */
        private val NEWEST: Duration = SubmissionId.CLOCK_SKEW.toJavaDuration()
    }
}

/** Returns why [submission] can never run with [service], or null if it may. */
internal fun limitError(
    submission: NewSubmission,
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
