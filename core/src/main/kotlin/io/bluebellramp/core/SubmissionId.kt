package io.bluebellramp.core

import kotlinx.serialization.Serializable
import java.security.SecureRandom
import java.time.Instant
import java.util.UUID
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

/**
 * Identifies a submission, which is a job or a single request. The caller chooses it.
 *
 * It is a UUID version 7 (RFC 9562), which contains the time of its creation. Ids older than [MAX_AGE] are refused, so that
 * processes need to remember submissions only for that long.
 */
@Serializable
@JvmInline
value class SubmissionId(
    val value: String,
) {
    /** The creation time in the id, in whole milliseconds. */
    val instant: Instant
        get() =
            Instant.ofEpochMilli(
                value.substring(0, FIRST_GROUP_DIGITS).plus(value.substring(FIRST_GROUP_DIGITS + 1, TIME_END_INDEX)).toLong(HEX_RADIX),
            )

    override fun toString() = value

    companion object {
        /** How long after the time in its id a submission may be claimed, started or queried. */
        val MAX_AGE = 10.minutes

        /** How far in the future the time in an id may be, because the clocks of callers and processes differ. */
        val CLOCK_SKEW = 5.seconds

        private const val FIRST_GROUP_DIGITS = 8
        private const val TIME_END_INDEX = 13
        private const val HEX_RADIX = 16
        private const val TIME_SHIFT_BITS = 16
        private const val VERSION_BITS = 0x7000L
        private const val RAND_A_MASK = 0xFFFL
        private const val RAND_B_MASK = 0x3FFFFFFFFFFFFFFFL
        private const val VARIANT_BITS = Long.MIN_VALUE
        private val pattern = Regex("^[0-9a-f]{8}-[0-9a-f]{4}-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12}$")
        private val random = SecureRandom()

        /** Returns the id if [text] is a UUID version 7 in lower case, or null. */
        fun parse(text: String): SubmissionId? = if (pattern.matches(text)) SubmissionId(text) else null

        /** Returns an id with the time [instant] and the random bits of [high] and [low]. */
        fun create(
            instant: Instant,
            high: Long = random.nextLong(),
            low: Long = random.nextLong(),
        ): SubmissionId {
            val highBits = (instant.toEpochMilli() shl TIME_SHIFT_BITS) or VERSION_BITS or (high and RAND_A_MASK)
            val lowBits = (low and RAND_B_MASK) or VARIANT_BITS
            return SubmissionId(UUID(highBits, lowBits).toString())
        }
    }
}
