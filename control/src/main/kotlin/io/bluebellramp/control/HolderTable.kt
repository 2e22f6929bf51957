package io.bluebellramp.control

import io.bluebellramp.messages.ClaimHolder

/** Maps the holders of one bucket to small numbers, so that a claim stores a number instead of an object. */
internal class HolderTable {
    private val holders = ArrayList<ClaimHolder>()
    private val numbers = HashMap<ClaimHolder, Int>()

    /** Returns the holder with [number]. */
    operator fun get(number: Int): ClaimHolder = holders[number]

    /** Returns the number of [holder], assigning one if needed. */
    fun numberOf(holder: ClaimHolder): Int =
        numbers.getOrPut(holder) {
            holders += holder
            holders.size - 1
        }
}
