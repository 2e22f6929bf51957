package io.bluebellramp.control

import io.bluebellramp.core.RowIndex
import io.bluebellramp.core.RowKeys

/**
 * Claims whose ids were created in one time span, stored in primitive arrays to save memory: a row of longs and a row of ints per
 * claim, and an index by id.
 *
 * Rows are contiguous: the last one replaces a removed one. Claims that do not fit a row are kept as objects.
 */
internal class ClaimBucket : RowKeys {
    private val holders = HolderTable()
    private var longs = LongArray(0)
    private var ints = IntArray(0)
    private var rowCount = 0

    private val index = RowIndex(this)
    private val oversized = HashMap<ClaimKey, StoredClaim>()

    /** Number of claims. */
    val size: Int get() = rowCount + oversized.size

    /** Returns the claim on [key], or null. */
    operator fun get(key: ClaimKey): StoredClaim? {
        val row = index.find(key.high, key.low)
        return if (row >= 0) read(row) else oversized[key]
    }

    /** Stores [claim] on [key]; returns true if there was none before. */
    fun put(
        key: ClaimKey,
        claim: StoredClaim,
    ): Boolean {
        val isNew = this[key] == null
        if (claim.fitsRow()) {
            oversized.remove(key)
            write(rowOf(key), claim)
        } else {
            removeRow(key)
            oversized[key] = claim
        }
        return isNew
    }

    /** Removes the claim on [key]; returns true if there was one. */
    fun remove(key: ClaimKey): Boolean = oversized.remove(key) != null || removeRow(key)

    /** Returns all claims. */
    fun claims(): List<Pair<ClaimKey, StoredClaim>> =
        (0 until rowCount).map { keyAt(it) to read(it) } + oversized.map { it.key to it.value }

    /** Shrinks the arrays to the claims they hold. */
    fun trim() {
        if (ints.size == rowCount * INTS_PER_ROW) return
        resize(rowCount)
    }

    private fun StoredClaim.fitsRow() = conflicts == null && sequence in 0..Int.MAX_VALUE

    override fun high(row: Int): Long = longs[row * LONGS_PER_ROW]

    override fun low(row: Int): Long = longs[row * LONGS_PER_ROW + 1]

    private fun rowOf(key: ClaimKey): Int {
        val found = index.find(key.high, key.low)
        if (found >= 0) return found
        if ((rowCount + 1) * INTS_PER_ROW > ints.size) resize(rowCount + rowCount / GROWTH_DIVISOR + INITIAL_ROWS)
        val row = rowCount++
        longs[row * LONGS_PER_ROW] = key.high
        longs[row * LONGS_PER_ROW + 1] = key.low
        index.add(row)
        return row
    }

    private fun removeRow(key: ClaimKey): Boolean {
        val row = index.find(key.high, key.low)
        if (row < 0) return false
        index.remove(row)
        val last = rowCount - 1
        if (row != last) {
            index.move(from = last, to = row)
            longs.copyInto(longs, row * LONGS_PER_ROW, last * LONGS_PER_ROW, rowCount * LONGS_PER_ROW)
            ints.copyInto(ints, row * INTS_PER_ROW, last * INTS_PER_ROW, rowCount * INTS_PER_ROW)
        }
        rowCount = last
        return true
    }

    private fun resize(capacity: Int) {
        longs = longs.copyOf(capacity * LONGS_PER_ROW)
        ints = ints.copyOf(capacity * INTS_PER_ROW)
    }

    private fun keyAt(row: Int) = ClaimKey(high(row), low(row))

    private fun read(row: Int): StoredClaim {
        val offset = row * LONGS_PER_ROW + DIGEST_OFFSET
        val holder = ints[row * INTS_PER_ROW + 1]
        return StoredClaim(
            digest = ClaimDigest(longs[offset], longs[offset + 1], longs[offset + 2], longs[offset + 3]),
            holder = holders[holder and Int.MAX_VALUE],
            sequence = ints[row * INTS_PER_ROW].toLong(),
            isTakenOver = holder < 0,
        )
    }

    private fun write(
        row: Int,
        claim: StoredClaim,
    ) {
        val offset = row * LONGS_PER_ROW
        val digest = claim.digest
        longArrayOf(digest.first, digest.second, digest.third, digest.fourth).copyInto(longs, offset + DIGEST_OFFSET)
        ints[row * INTS_PER_ROW] = claim.sequence.toInt()
        ints[row * INTS_PER_ROW + 1] = holders.numberOf(claim.holder) or if (claim.isTakenOver) Int.MIN_VALUE else 0
    }

    private companion object {
        /** Two longs for the id and four for the digest. */
        const val LONGS_PER_ROW = 6

        /** Offset of the digest in the longs of a row. */
        const val DIGEST_OFFSET = 2

        /** The sequence, and the number of the holder; its sign bit is set if the claim was taken over. */
        const val INTS_PER_ROW = 2
        const val INITIAL_ROWS = 16

        /** Full arrays grow by their size divided by this. */
        const val GROWTH_DIVISOR = 8
    }
}
