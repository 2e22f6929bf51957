package io.bluebellramp.core

/** Gives [RowIndex] access to the 128-bit keys of the rows of a table. */
interface RowKeys {
    /** Returns the upper 64 bits of the key of [row]. */
    fun high(row: Int): Long

    /** Returns the lower 64 bits of the key of [row]. */
    fun low(row: Int): Long
}

/**
 * A hash index from keys to row numbers of a table that is stored in primitive arrays. It needs about two ints for each row.
 *
 * Use it for hundreds of thousands of rows, where an object for each row would need too much memory. It uses open addressing with
 * linear probing and is not thread-safe.
 *
 * @param keys the keys of the rows that were added
 */
class RowIndex(
    private val keys: RowKeys,
) {
    /** Row number + 1, or 0 for an empty slot. The length is a power of two. */
    private var slots = IntArray(INITIAL_SLOTS)
    private var size = 0

    /** Memory that the index takes (bytes). */
    val bytes: Long get() = slots.size.toLong() * Int.SIZE_BYTES

    /** Returns the row with this key, or -1 if there is none. */
    fun find(
        high: Long,
        low: Long,
    ): Int = slots[slotOf(high, low)] - 1

    /** Adds [row]. Its key must be readable through [RowKeys] already and must not be in the index. */
    fun add(row: Int) {
        if (size >= slots.size / MAX_LOAD_DENOMINATOR * MAX_LOAD_NUMERATOR) grow()
        insert(row)
        size++
    }

    /** Records that the row [from] moves to the unused row [to]. Call it while [from] still has its key. */
    fun move(
        from: Int,
        to: Int,
    ) {
        slots[slotOf(keys.high(from), keys.low(from))] = to + 1
    }

    /** Removes [row]. Later slots are shifted back into the hole, so that a search does not stop too early. */
    fun remove(row: Int) {
        var hole = slotOf(keys.high(row), keys.low(row))
        var next = nextSlot(hole)
        while (slots[next] > 0) {
            if (!isInCyclicRange(hole, homeSlotOf(slots[next] - 1), next)) {
                slots[hole] = slots[next]
                hole = next
            }
            next = nextSlot(next)
        }
        slots[hole] = 0
        size--
    }

    /** Returns whether [home] is after [hole] and not after [slot], where the slots wrap around at the end of the array. */
    private fun isInCyclicRange(
        hole: Int,
        home: Int,
        slot: Int,
    ) = if (hole <= slot) home in (hole + 1)..slot else home > hole || home <= slot

    private fun grow() {
        val old = slots
        slots = IntArray(old.size * 2)
        old.forEach { if (it > 0) insert(it - 1) }
    }

    private fun insert(row: Int) {
        slots[slotOf(keys.high(row), keys.low(row))] = row + 1
    }

    /** Returns the slot that holds the key, or the empty slot in which to insert it. */
    private fun slotOf(
        high: Long,
        low: Long,
    ): Int {
        var slot = homeSlotOf(high, low)
        while (slots[slot] > 0 && !hasKey(slots[slot] - 1, high, low)) slot = nextSlot(slot)
        return slot
    }

    private fun homeSlotOf(row: Int) = homeSlotOf(keys.high(row), keys.low(row))

    private fun homeSlotOf(
        high: Long,
        low: Long,
    ): Int {
        val hash = (low xor (high * HASH_MULTIPLIER)) * HASH_MULTIPLIER
        return (hash ushr HASH_SHIFT_BITS).toInt() and (slots.size - 1)
    }

    private fun nextSlot(slot: Int) = (slot + 1) and (slots.size - 1)

    private fun hasKey(
        row: Int,
        high: Long,
        low: Long,
    ) = keys.high(row) == high && keys.low(row) == low

    private companion object {
        const val INITIAL_SLOTS = 32

        /** The array is doubled once three quarters of its slots are filled. */
        const val MAX_LOAD_NUMERATOR = 3
        const val MAX_LOAD_DENOMINATOR = 4

        /** 2^64 over the golden ratio, the multiplier of Fibonacci hashing. */
        const val HASH_MULTIPLIER = -0x61c8864680b583ebL
        const val HASH_SHIFT_BITS = 32
    }
}
