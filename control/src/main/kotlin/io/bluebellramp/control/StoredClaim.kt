package io.bluebellramp.control

import io.bluebellramp.core.IncarnationId
import io.bluebellramp.core.SubmissionId
import io.bluebellramp.messages.ClaimHolder
import io.bluebellramp.messages.HeldClaim
import java.nio.ByteBuffer
import java.util.HexFormat
import java.util.UUID

/** A submission id as 16 bytes. */
internal data class ClaimKey(
    val high: Long,
    val low: Long,
) {
    /** Returns the submission id. */
    fun submission() = SubmissionId(UUID(high, low).toString())

    companion object {
        /** Returns the key of [id]. */
        fun of(id: SubmissionId): ClaimKey = UUID.fromString(id.value).let { ClaimKey(it.mostSignificantBits, it.leastSignificantBits) }
    }
}

/** A SHA-256 digest as 32 bytes. */
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
                .allocate(DIGEST_BYTES)
                .putLong(first)
                .putLong(second)
                .putLong(third)
                .putLong(fourth)
        return HexFormat.of().formatHex(bytes.array())
    }

    companion object {
        private const val DIGEST_BYTES = 32

        /** Parses [hex], or returns null if it is not a SHA-256 digest. */
        fun parse(hex: String): ClaimDigest? {
            if (hex.length != 2 * DIGEST_BYTES) return null
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
 * A claim as a member stores it.
 *
 * @property sequence the holder's last claim round in which it was granted
 * @property isTakenOver true if the holder took it over from a dead entry; the holder must then never start the submission's tasks
 * @property conflicts other claims on the same submission that members are known to have granted. While there are any, this member
 *   cannot know which of them it granted before its restart, so it grants none.
 */
internal class StoredClaim(
    val digest: ClaimDigest,
    val holder: ClaimHolder,
    val sequence: Long,
    val isTakenOver: Boolean,
    val conflicts: List<StoredClaim>? = null,
) {
    /** Returns this claim and its conflicts, each without conflicts of its own. */
    fun allClaims(): List<StoredClaim> = listOf(withConflicts(conflicts = null)) + conflicts.orEmpty()

    /** Returns this claim merged with [other], which becomes a conflict unless it has the same holder and digest. */
    fun merge(other: StoredClaim): StoredClaim {
        val claims = allClaims()
        val found = claims.indexOfFirst { it.holder.incarnation == other.holder.incarnation && it.digest == other.digest }
        val merged = if (found < 0) claims + other else claims.mapIndexed { i, claim -> if (i == found) claim.renewedBy(other) else claim }
        return combine(merged)!!
    }

    /** Returns what remains after [incarnation] releases its rounds up to [sequence], or null. A taken-over claim cannot be released. */
    fun release(
        incarnation: IncarnationId,
        sequence: Long,
    ): StoredClaim? = combine(allClaims().filter { it.isTakenOver || it.holder.incarnation != incarnation || it.sequence > sequence })

    /** Returns this claim, renewed by [other] from the same holder. */
    fun renewedBy(other: StoredClaim) =
        StoredClaim(digest, holder, maxOf(sequence, other.sequence), isTakenOver || other.isTakenOver, conflicts)

    /** Converts the claim to a message. */
    fun toHeldClaim(key: ClaimKey) =
        HeldClaim(submission = key.submission(), digest = digest.hex(), holder = holder, sequence = sequence, takenOver = isTakenOver)

    private fun withConflicts(conflicts: List<StoredClaim>?) = StoredClaim(digest, holder, sequence, isTakenOver, conflicts)

    private companion object {
        fun combine(claims: List<StoredClaim>): StoredClaim? = claims.firstOrNull()?.withConflicts(claims.drop(1).ifEmpty { null })
    }
}
