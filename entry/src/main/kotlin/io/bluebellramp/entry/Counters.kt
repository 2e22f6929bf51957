package io.bluebellramp.entry

import io.bluebellramp.messages.AnswerOutcome
import io.bluebellramp.messages.ErrorCode
import io.bluebellramp.messages.TaskStatus
import java.util.EnumMap

/** A message that served no purpose. */
internal enum class Waste {
    REFUSAL,
    RETRY,
    DUPLICATE_ANSWER,
    LATE_CANCEL,
    RETURNED_CREDIT,
}

/** What came of a claim. */
internal enum class Verdict {
    GRANTED,
    HELD,
    UNAVAILABLE,
}

/** Counts what the core did. The shell publishes it as metrics. */
internal class Counters {
    var dispatched = 0L
    val wasted = EnumMap<Waste, Long>(Waste::class.java)
    val outcomes = EnumMap<TaskStatus, Long>(TaskStatus::class.java)
    val answers = EnumMap<AnswerOutcome, Long>(AnswerOutcome::class.java)
    val refusals = EnumMap<ErrorCode, Long>(ErrorCode::class.java)

    val claims = EnumMap<Verdict, Long>(Verdict::class.java)

    fun claim(result: ClaimResult) {
        val verdict =
            when (result) {
                ClaimResult.Granted -> Verdict.GRANTED
                is ClaimResult.Held -> Verdict.HELD
                is ClaimResult.Split, ClaimResult.Unavailable -> Verdict.UNAVAILABLE
            }
        claims.merge(verdict, 1L, Long::plus)
    }

    fun waste(
        kind: Waste,
        count: Int = 1,
    ) {
        wasted.merge(kind, count.toLong(), Long::plus)
    }

    fun outcome(status: TaskStatus) {
        outcomes.merge(status, 1L, Long::plus)
    }

    fun answer(outcome: AnswerOutcome) {
        answers.merge(outcome, 1L, Long::plus)
    }

    fun refusal(code: ErrorCode) {
        refusals.merge(code, 1L, Long::plus)
    }
}
