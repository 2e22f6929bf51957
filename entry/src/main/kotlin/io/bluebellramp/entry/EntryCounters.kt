package io.bluebellramp.entry

import io.bluebellramp.messages.AnswerOutcome
import io.bluebellramp.messages.ErrorCode
import io.bluebellramp.messages.TaskStatus
import java.util.EnumMap

/** Kinds of messages that cost work without effect. The names are metric labels. */
internal enum class WastedMessage {
    REFUSAL,
    RETRY,
    DUPLICATE_ANSWER,
    LATE_CANCEL,
    RETURNED_CREDIT,
}

/** Results of claims. The names are metric labels. */
internal enum class ClaimVerdictKind {
    GRANTED,
    HELD,
    UNAVAILABLE,
}

/** Event counters of [EntryCore], published by [EntryMetrics]. */
internal class EntryCounters {
    var dispatched = 0L
    val wasted = EnumMap<WastedMessage, Long>(WastedMessage::class.java)
    val outcomes = EnumMap<TaskStatus, Long>(TaskStatus::class.java)
    val answers = EnumMap<AnswerOutcome, Long>(AnswerOutcome::class.java)
    val refusals = EnumMap<ErrorCode, Long>(ErrorCode::class.java)

    val claims = EnumMap<ClaimVerdictKind, Long>(ClaimVerdictKind::class.java)

    fun countClaim(result: ClaimResult) {
        val verdict =
            when (result) {
                ClaimResult.Granted -> ClaimVerdictKind.GRANTED
                is ClaimResult.Held -> ClaimVerdictKind.HELD
                is ClaimResult.Split, ClaimResult.Unavailable -> ClaimVerdictKind.UNAVAILABLE
            }
        claims.merge(verdict, 1L, Long::plus)
    }

    fun countWasted(
        kind: WastedMessage,
        count: Int = 1,
    ) {
        wasted.merge(kind, count.toLong(), Long::plus)
    }

    fun countOutcome(status: TaskStatus) {
        outcomes.merge(status, 1L, Long::plus)
    }

    fun countAnswer(outcome: AnswerOutcome) {
        answers.merge(outcome, 1L, Long::plus)
    }

    fun countRefusal(code: ErrorCode) {
        refusals.merge(code, 1L, Long::plus)
    }
}
