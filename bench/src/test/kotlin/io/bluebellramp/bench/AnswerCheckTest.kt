package io.bluebellramp.bench

import io.bluebellramp.core.ServiceId
import io.bluebellramp.core.SubmissionId
import io.bluebellramp.messages.Answer
import io.bluebellramp.messages.AnswerOutcome
import io.bluebellramp.messages.JobSubmission
import io.bluebellramp.messages.TaskResult
import io.bluebellramp.messages.TaskSpecification
import org.junit.jupiter.api.Nested
import java.time.Instant
import kotlin.test.Test
import kotlin.test.assertNotNull
import kotlin.test.assertNull

class AnswerCheckTest {
    private val submission = SubmissionId.create(Instant.EPOCH, high = 0, low = 1)
    private val other = SubmissionId.create(Instant.EPOCH, high = 0, low = 2)
    private val job =
        JobSubmission(
            submission = submission,
            service = ServiceId("s"),
            tasks = listOf("0", "1").map { TaskSpecification(id = it, payload = "sleep:5;echo:text-$it") },
        )
    private val allResults = listOf(TaskResult("0", "text-0"), TaskResult("1", "text-1"))

    private fun complete(
        results: List<TaskResult>?,
        of: SubmissionId = submission,
    ) = Answer(submission = of, outcome = AnswerOutcome.COMPLETE, results = results)

    @Nested
    inner class `a complete answer` {
        @Test
        fun `with every result in order is correct`() = assertNull(AnswerCheck.fault(job, complete(allResults)))

        @Test
        fun `is wrong in every other case`() {
            val cases =
                mapOf(
                    "no results" to complete(null),
                    "too few" to complete(allResults.take(1)),
                    "other order" to complete(allResults.reversed()),
                    "another job" to complete(allResults, of = other),
                    "ids of other tasks" to complete(listOf(TaskResult("2", "text-0"), TaskResult("3", "text-1"))),
                    "another text" to complete(listOf(TaskResult("0", "text-0"), TaskResult("1", "text-0"))),
                )
            cases.forEach { (name, answer) -> assertNotNull(AnswerCheck.fault(job, answer), name) }
        }
    }

    @Nested
    inner class `an answer that is not complete` {
        @Test
        fun `is wrong if it carries results or contradicts itself`() {
            val failed = Answer(submission = submission, outcome = AnswerOutcome.FAILED, startedTasks = 1)
            assertNull(AnswerCheck.fault(job, failed))
            assertNotNull(AnswerCheck.fault(job, failed.copy(results = allResults)))
            assertNotNull(AnswerCheck.fault(job, failed.copy(outcome = AnswerOutcome.NOT_RUN)))
        }
    }
}
