package io.bluebellramp.control

import io.bluebellramp.messages.ClaimHolder

/** Numbers the holders of the claims of one group, so that a claim keeps a number in place of a holder. */
internal class HolderTable {
    private val holders = ArrayList<ClaimHolder>()
    private val numbers = HashMap<ClaimHolder, Int>()

    /** Returns the holder with [number]. */
    operator fun get(number: Int): ClaimHolder = holders[number]

    /** Returns the number of [holder]. */
    fun numberOf(holder: ClaimHolder): Int =
        numbers.getOrPut(holder) {
            holders += holder
            holders.size - 1
        }
}
