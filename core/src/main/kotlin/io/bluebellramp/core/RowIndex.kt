package io.bluebellramp.core

/** The keys of rows that are kept elsewhere: two longs for each. */
interface RowKeys {
    /** The first half of the key of [row]. */
    fun high(row: Int): Long

    /** The second half of the key of [row]. */
    fun low(row: Int): Long
}

/**
 * Finds rows in primitive arrays by their keys, in about two ints for each row.
 *
 * Use it where hundreds of thousands of rows are kept and an object for each would be too large. Open addressing with linear probing.
 * One thread at a time.
 *
 * @param keys reads the key of each row that was added
 */
class RowIndex(
    private val keys: RowKeys,
) {
    /** Row number + 1 by hash, 0 for none. Its length is a power of two. */
    private var slots = IntArray(FIRST_SLOTS)
    private var size = 0

    /** Memory of the index (bytes). */
    val bytes: Long get() = slots.size.toLong() * Int.SIZE_BYTES

    /** Returns the row with this key, or -1. */
    fun find(
        high: Long,
        low: Long,
    ): Int = slots[slotOf(high, low)] - 1

    /** Adds [row], whose key is set and has no row yet. */
    fun add(row: Int) {
        if (size >= slots.size / SLOTS_SHARE * FILLED_SHARE) grow()
        put(row)
        size++
    }

    /** Notes that the row [from] will be at [to], where no row is any more. Call it while [from] still has its key. */
    fun move(
        from: Int,
        to: Int,
    ) {
        slots[slotOf(keys.high(from), keys.low(from))] = to + 1
    }

    /** Removes [row]. What follows its slot moves back, so that no search ends too early. */
    fun remove(row: Int) {
        var hole = slotOf(keys.high(row), keys.low(row))
        var next = following(hole)
        while (slots[next] > 0) {
            if (!isBetween(hole, homeOf(slots[next] - 1), next)) {
                slots[hole] = slots[next]
                hole = next
            }
            next = following(next)
        }
        slots[hole] = 0
        size--
    }

    /** Tells whether [home] lies behind [hole] on the way to [slot], where the slots form a ring. */
    private fun isBetween(
        hole: Int,
        home: Int,
        slot: Int,
    ) = if (hole <= slot) home in (hole + 1)..slot else home > hole || home <= slot

    private fun grow() {
        val old = slots
        slots = IntArray(old.size * 2)
        old.forEach { if (it > 0) put(it - 1) }
    }

    private fun put(row: Int) {
        slots[slotOf(keys.high(row), keys.low(row))] = row + 1
    }

    /** Returns the slot that holds the key, or the empty one where it belongs. */
    private fun slotOf(
        high: Long,
        low: Long,
    ): Int {
        var slot = homeOf(high, low)
        while (slots[slot] > 0 && !isAt(slots[slot] - 1, high, low)) slot = following(slot)
        return slot
    }

    private fun homeOf(row: Int) = homeOf(keys.high(row), keys.low(row))

    private fun homeOf(
        high: Long,
        low: Long,
    ): Int {
        val mixed = (low xor (high * HASH_FACTOR)) * HASH_FACTOR
        return (mixed ushr HASH_SHIFT).toInt() and (slots.size - 1)
    }

    private fun following(slot: Int) = (slot + 1) and (slots.size - 1)

    private fun isAt(
        row: Int,
        high: Long,
        low: Long,
    ) = keys.high(row) == high && keys.low(row) == low

    private companion object {
        const val FIRST_SLOTS = 32

        /** The index is doubled when it is filled to three quarters. */
        const val FILLED_SHARE = 3
        const val SLOTS_SHARE = 4

        /** 2^64 over the golden ratio, the multiplier of Fibonacci hashing. */
        const val HASH_FACTOR = -0x61c8864680b583ebL
        const val HASH_SHIFT = 32
    }
}
