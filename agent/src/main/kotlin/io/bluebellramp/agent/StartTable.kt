package io.bluebellramp.agent

/**
 * A hash table from a task of a submission to one number, in flat arrays of [SLOT_BYTES] bytes a slot.
 *
 * It has no removal: the ledger drops whole tables. The number 0 stands for "absent".
 */
internal class StartTable {
    private var high = LongArray(FIRST_CAPACITY)
    private var low = LongArray(FIRST_CAPACITY)
    private var tasks = IntArray(FIRST_CAPACITY)
    private var values = IntArray(FIRST_CAPACITY)

    /** Tasks in the table. */
    var size = 0
        private set

    /** Memory of the arrays (bytes). */
    val bytes: Long get() = values.size.toLong() * SLOT_BYTES

    /** Returns the number of the task, or 0. */
    fun get(key: TaskKey): Int = values[slot(key)]

    /** Sets the number of the task, which must not be 0. */
    fun put(
        key: TaskKey,
        value: Int,
    ) {
        var slot = slot(key)
        if (values[slot] == 0) {
            if ((size + 1) * LOAD_PARTS > values.size * LOAD_FILLED) {
                grow()
                slot = slot(key)
            }
            size++
            high[slot] = key.high
            low[slot] = key.low
            tasks[slot] = key.task
        }
        values[slot] = value
    }

    private fun slot(key: TaskKey): Int {
        val mask = values.size - 1
        var slot = hash(key) and mask
        while (values[slot] != 0 && !holds(slot, key)) slot = (slot + 1) and mask
        return slot
    }

    private fun holds(
        slot: Int,
        key: TaskKey,
    ) = low[slot] == key.low && tasks[slot] == key.task && high[slot] == key.high

    private fun hash(key: TaskKey): Int {
        val mixed = (key.low xor (key.high * HASH_FACTOR) xor key.task.toLong()) * HASH_FACTOR
        return (mixed ushr Int.SIZE_BITS).toInt()
    }

    private fun grow() {
        val old = StartTableArrays(high, low, tasks, values)
        val capacity = values.size * 2
        high = LongArray(capacity)
        low = LongArray(capacity)
        tasks = IntArray(capacity)
        values = IntArray(capacity)
        for (index in old.values.indices) {
            if (old.values[index] == 0) continue
            val slot = slot(TaskKey(old.high[index], old.low[index], old.tasks[index]))
            high[slot] = old.high[index]
            low[slot] = old.low[index]
            tasks[slot] = old.tasks[index]
            values[slot] = old.values[index]
        }
    }

    private class StartTableArrays(
        val high: LongArray,
        val low: LongArray,
        val tasks: IntArray,
        val values: IntArray,
    )

    companion object {
        /** Memory of one slot (bytes). */
        const val SLOT_BYTES = 24
        private const val FIRST_CAPACITY = 16
        private const val LOAD_FILLED = 3
        private const val LOAD_PARTS = 4
        private const val HASH_FACTOR = -7046029254386353131L
    }
}

/** One task of one submission, as the two halves of the id of the submission and the index of the task. */
internal data class TaskKey(
    val high: Long,
    val low: Long,
    val task: Int,
)
