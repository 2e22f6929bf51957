package io.bluebellramp.control

import io.bluebellramp.core.IncarnationId
import io.bluebellramp.core.SubmissionId
import io.bluebellramp.messages.ClaimHolder
import io.bluebellramp.messages.HeldClaim
import java.nio.ByteBuffer
import java.util.HexFormat
import java.util.UUID

/** A submission id in 16 bytes. */
internal data class ClaimKey(
    val high: Long,
    val low: Long,
) {
    /** Returns the id. */
    fun submission() = SubmissionId(UUID(high, low).toString())

    companion object {
        /** Returns the key of [id]. */
        fun of(id: SubmissionId): ClaimKey = UUID.fromString(id.value).let { ClaimKey(it.mostSignificantBits, it.leastSignificantBits) }
    }
}

/** A SHA-256 digest in 32 bytes. */
internal data class ClaimDigest(
    val first: Long,
    val second: Long,
    val third: Long,
    val fourth: Long,
) {
    /** Returns the digest in hex. */
    fun hex(): String {
        val bytes =
            ByteBuffer
                .allocate(BYTES)
                .putLong(first)
                .putLong(second)
                .putLong(third)
                .putLong(fourth)
        return HexFormat.of().formatHex(bytes.array())
    }

    companion object {
        private const val BYTES = 32

        /** Returns the digest that [hex] spells, or null if it is none. */
        fun parse(hex: String): ClaimDigest? {
            if (hex.length != 2 * BYTES) return null
            return try {
                val bytes = ByteBuffer.wrap(HexFormat.of().parseHex(hex))
                ClaimDigest(bytes.getLong(), bytes.getLong(), bytes.getLong(), bytes.getLong())
            } catch (_: IllegalArgumentException) {
                null
            }
        }
    }
}

/**
 * A claim as a member holds it.
 *
 * @property sequence last round of the holder in which it was granted
 * @property isTakenOver true if the holder took it over from an entry that is gone, and so must never start anything
 * @property rivals other claims of the same submission that members of the cluster are known to have granted. While there are
 *   any, the member cannot tell whose claim it granted before it forgot, so it grants none.
 */
internal class StoredClaim(
    val digest: ClaimDigest,
    val holder: ClaimHolder,
    val sequence: Long,
    val isTakenOver: Boolean,
    val rivals: List<StoredClaim>? = null,
) {
    /** This claim and its rivals, each alone. */
    fun all(): List<StoredClaim> = listOf(with(rivals = null)) + rivals.orEmpty()

    /** Returns this claim with what [other] adds, as a rival unless it is the same claim. */
    fun merge(other: StoredClaim): StoredClaim {
        val claims = all()
        val same = claims.indexOfFirst { it.holder.incarnation == other.holder.incarnation && it.digest == other.digest }
        val merged = if (same < 0) claims + other else claims.mapIndexed { i, claim -> if (i == same) claim.again(other) else claim }
        return of(merged)!!
    }

    /** Returns what is left when [incarnation] gives up its rounds up to [sequence], or null. A takeover is for good. */
    fun release(
        incarnation: IncarnationId,
        sequence: Long,
    ): StoredClaim? = of(all().filter { it.isTakenOver || it.holder.incarnation != incarnation || it.sequence > sequence })

    /** Returns this claim, granted again as [other]. */
    fun again(other: StoredClaim) = StoredClaim(digest, holder, maxOf(sequence, other.sequence), isTakenOver || other.isTakenOver, rivals)

    /** Returns the claim as a message. */
    fun held(key: ClaimKey) =
        HeldClaim(submission = key.submission(), digest = digest.hex(), holder = holder, sequence = sequence, takenOver = isTakenOver)

    private fun with(rivals: List<StoredClaim>?) = StoredClaim(digest, holder, sequence, isTakenOver, rivals)

    private companion object {
        fun of(claims: List<StoredClaim>): StoredClaim? = claims.firstOrNull()?.with(claims.drop(1).ifEmpty { null })
    }
}
