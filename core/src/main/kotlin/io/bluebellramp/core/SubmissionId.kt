package io.bluebellramp.core

import kotlinx.serialization.Serializable
import java.security.SecureRandom
import java.time.Instant
import java.util.UUID
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

/**
 * Names a submission, a job or a single request. The caller chooses it.
 *
 * It is a UUID version 7 (RFC 9562), so it carries the time at which it was made. An id that is older than the longest
 * life of a submission is refused, which bounds what has to be remembered.
 */
@Serializable
@JvmInline
value class SubmissionId(
    val value: String,
) {
    /** The time inside the id (ms resolution). */
    val instant: Instant
        get() = Instant.ofEpochMilli(value.substring(0, HIGH_DIGITS).plus(value.substring(HIGH_DIGITS + 1, TIME_END)).toLong(RADIX))

    override fun toString() = value

    companion object {
        /** How long after the time inside its id a submission may be claimed, started or asked for. */
        val LIFE = 10.minutes

        /** How far the time inside an id may lie in the future, because the clocks of callers and processes differ. */
        val CLOCK_SKEW = 5.seconds

        private const val HIGH_DIGITS = 8
        private const val TIME_END = 13
        private const val RADIX = 16
        private const val TIME_SHIFT = 16
        private const val VERSION_BITS = 0x7000L
        private const val RANDOM_HIGH_MASK = 0xFFFL
        private const val VARIANT_MASK = 0x3FFFFFFFFFFFFFFFL
        private const val VARIANT_BITS = Long.MIN_VALUE
        private val pattern = Regex("^[0-9a-f]{8}-[0-9a-f]{4}-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12}$")
        private val random = SecureRandom()

        /** Returns the id if [text] is a UUID version 7 in lower case, or null. */
        fun parse(text: String): SubmissionId? = if (pattern.matches(text)) SubmissionId(text) else null

        /** Returns a new id that carries [instant]. */
        fun create(
            instant: Instant,
            high: Long = random.nextLong(),
            low: Long = random.nextLong(),
        ): SubmissionId {
            val most = (instant.toEpochMilli() shl TIME_SHIFT) or VERSION_BITS or (high and RANDOM_HIGH_MASK)
            val least = (low and VARIANT_MASK) or VARIANT_BITS
            return SubmissionId(UUID(most, least).toString())
        }
    }
}
