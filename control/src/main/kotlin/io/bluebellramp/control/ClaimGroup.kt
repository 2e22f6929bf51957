package io.bluebellramp.control

/**
 * Claims whose ids were made in one span of time, in primitive arrays: a row of longs and a row of ints for each, and an index by id.
 *
 * Rows have no gaps: the last one takes the place of one that is removed. Claims that do not fit a row are kept as objects.
 */
internal class ClaimGroup {
    private val holders = HolderTable()
    private var wide = LongArray(0)
    private var narrow = IntArray(0)
    private var rows = 0

    /** Row number + 1 by hash, 0 for none; open addressing with linear probing. Its length is a power of two. */
    private var index = IntArray(FIRST_SLOTS)
    private val odd = HashMap<ClaimKey, StoredClaim>()

    /** Number of claims. */
    val size: Int get() = rows + odd.size

    /** Returns the claim on [key]. */
    operator fun get(key: ClaimKey): StoredClaim? {
        val row = index[slotOf(key)] - 1
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
            write(rowOf(key), key, claim)
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

    private fun rowOf(key: ClaimKey): Int {
        val slot = slotOf(key)
        if (index[slot] > 0) return index[slot] - 1
        if ((rows + 1) * INTS > narrow.size) resize(rows + rows / GROWTH_SHARE + FIRST_ROWS)
        val row = rows++
        index[slot] = row + 1
        if (rows > index.size / SLOTS_SHARE * FILLED_SHARE) rebuildIndex(key, row)
        return row
    }

    private fun removeRow(key: ClaimKey): Boolean {
        val slot = slotOf(key)
        val row = index[slot] - 1
        if (row < 0) return false
        val last = rows - 1
        if (row != last) {
            val moved = slotOf(keyAt(last))
            wide.copyInto(wide, row * LONGS, last * LONGS, rows * LONGS)
            narrow.copyInto(narrow, row * INTS, last * INTS, rows * INTS)
            index[moved] = row + 1
        }
        clear(slot)
        rows = last
        return true
    }

    /** Empties [slot] and moves what follows it back, so that no search ends too early. */
    private fun clear(slot: Int) {
        var hole = slot
        var next = following(hole)
        while (index[next] > 0) {
            val home = homeOf(keyAt(index[next] - 1))
            val isBetween = if (hole <= next) home in (hole + 1)..next else home > hole || home <= next
            if (!isBetween) {
                index[hole] = index[next]
                hole = next
            }
            next = following(next)
        }
        index[hole] = 0
    }

    /** Returns the slot that holds [key], or the empty one where it belongs. */
    private fun slotOf(key: ClaimKey): Int {
        var slot = homeOf(key)
        while (index[slot] > 0 && !isAt(index[slot] - 1, key)) slot = following(slot)
        return slot
    }

    private fun homeOf(key: ClaimKey): Int {
        val mixed = (key.low xor (key.high * HASH_FACTOR)) * HASH_FACTOR
        return (mixed ushr HASH_SHIFT).toInt() and (index.size - 1)
    }

    private fun following(slot: Int) = (slot + 1) and (index.size - 1)

    /** Doubles the index. The row of [added] is not written yet. */
    private fun rebuildIndex(
        added: ClaimKey,
        row: Int,
    ) {
        index = IntArray(index.size * 2)
        for (old in 0 until row) index[slotOf(keyAt(old))] = old + 1
        index[slotOf(added)] = row + 1
    }

    private fun resize(capacity: Int) {
        wide = wide.copyOf(capacity * LONGS)
        narrow = narrow.copyOf(capacity * INTS)
    }

    private fun isAt(
        row: Int,
        key: ClaimKey,
    ) = wide[row * LONGS] == key.high && wide[row * LONGS + 1] == key.low

    private fun keyAt(row: Int) = ClaimKey(wide[row * LONGS], wide[row * LONGS + 1])

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
        key: ClaimKey,
        claim: StoredClaim,
    ) {
        val at = row * LONGS
        wide[at] = key.high
        wide[at + 1] = key.low
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
        const val FIRST_SLOTS = 32

        /** Rows grow by one part in this many. */
        const val GROWTH_SHARE = 8

        /** The index is doubled when it is filled to three quarters. */
        const val FILLED_SHARE = 3
        const val SLOTS_SHARE = 4
        const val HASH_FACTOR = -0x61c8864680b583ebL
        const val HASH_SHIFT = 32
    }
}
