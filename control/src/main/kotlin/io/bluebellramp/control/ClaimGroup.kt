package io.bluebellramp.control

import io.bluebellramp.core.RowIndex
import io.bluebellramp.core.RowKeys

/**
 * Claims whose ids were made in one span of time, in primitive arrays: a row of longs and a row of ints for each, and an index by id.
 *
 * Rows have no gaps: the last one takes the place of one that is removed. Claims that do not fit a row are kept as objects.
 */
internal class ClaimGroup : RowKeys {
    private val holders = HolderTable()
    private var wide = LongArray(0)
    private var narrow = IntArray(0)
    private var rows = 0

    private val index = RowIndex(this)
    private val odd = HashMap<ClaimKey, StoredClaim>()

    /** Number of claims. */
    val size: Int get() = rows + odd.size

    /** Returns the claim on [key]. */
    operator fun get(key: ClaimKey): StoredClaim? {
        val row = index.find(key.high, key.low)
        return if (row >= 0) read(row) else odd[key]
    }

    /** Holds [claim] on [key]; returns true if there was none. */
    fun put(
        key: ClaimKey,
        claim: StoredClaim,
    ): Boolean {
        val isNew = this[key] == null
        if (claim.fitsRow()) {
            odd.remove(key)
            write(rowOf(key), claim)
        } else {
            removeRow(key)
            odd[key] = claim
        }
        return isNew
    }

    /** Forgets the claim on [key]; returns true if there was one. */
    fun remove(key: ClaimKey): Boolean = odd.remove(key) != null || removeRow(key)

    /** Returns all claims. */
    fun claims(): List<Pair<ClaimKey, StoredClaim>> = (0 until rows).map { keyAt(it) to read(it) } + odd.map { it.key to it.value }

    /** Gives back the room that was kept for more claims. */
    fun trim() {
        if (narrow.size == rows * INTS) return
        resize(rows)
    }

    private fun StoredClaim.fitsRow() = rivals == null && sequence in 0..Int.MAX_VALUE

    override fun high(row: Int): Long = wide[row * LONGS]

    override fun low(row: Int): Long = wide[row * LONGS + 1]

    private fun rowOf(key: ClaimKey): Int {
        val found = index.find(key.high, key.low)
        if (found >= 0) return found
        if ((rows + 1) * INTS > narrow.size) resize(rows + rows / GROWTH_SHARE + FIRST_ROWS)
        val row = rows++
        wide[row * LONGS] = key.high
        wide[row * LONGS + 1] = key.low
        index.add(row)
        return row
    }

    private fun removeRow(key: ClaimKey): Boolean {
        val row = index.find(key.high, key.low)
        if (row < 0) return false
        index.remove(row)
        val last = rows - 1
        if (row != last) {
            index.move(from = last, to = row)
            wide.copyInto(wide, row * LONGS, last * LONGS, rows * LONGS)
            narrow.copyInto(narrow, row * INTS, last * INTS, rows * INTS)
        }
        rows = last
        return true
    }

    private fun resize(capacity: Int) {
        wide = wide.copyOf(capacity * LONGS)
        narrow = narrow.copyOf(capacity * INTS)
    }

    private fun keyAt(row: Int) = ClaimKey(high(row), low(row))

    private fun read(row: Int): StoredClaim {
        val at = row * LONGS + DIGEST
        val holder = narrow[row * INTS + 1]
        return StoredClaim(
            digest = ClaimDigest(wide[at], wide[at + 1], wide[at + 2], wide[at + 3]),
            holder = holders[holder and Int.MAX_VALUE],
            sequence = narrow[row * INTS].toLong(),
            isTakenOver = holder < 0,
        )
    }

    private fun write(
        row: Int,
        claim: StoredClaim,
    ) {
        val at = row * LONGS
        val digest = claim.digest
        longArrayOf(digest.first, digest.second, digest.third, digest.fourth).copyInto(wide, at + DIGEST)
        narrow[row * INTS] = claim.sequence.toInt()
        narrow[row * INTS + 1] = holders.numberOf(claim.holder) or if (claim.isTakenOver) Int.MIN_VALUE else 0
    }

    private companion object {
        /** Longs of a row: the id in two, the digest in four. */
        const val LONGS = 6

        /** Where the digest begins in the longs of a row. */
        const val DIGEST = 2

        /** Ints of a row: the sequence, and the number of the holder whose sign tells that it took the claim over. */
        const val INTS = 2
        const val FIRST_ROWS = 16

        /** Rows grow by one part in this many. */
        const val GROWTH_SHARE = 8
    }
}
