package io.bluebellramp.agent

/**
 * An open-addressing hash map from a task to an `Int`, in flat arrays that take [SLOT_BYTES] bytes per slot.
 *
 * Entries cannot be removed: the ledger drops whole maps. The value 0 means that the task is absent.
 */
internal class TaskIntMap {
    private var high = LongArray(INITIAL_CAPACITY)
    private var low = LongArray(INITIAL_CAPACITY)
    private var tasks = IntArray(INITIAL_CAPACITY)
    private var values = IntArray(INITIAL_CAPACITY)

    /** Number of tasks in the map. */
    var size = 0
        private set

    /** Memory of the arrays (bytes). */
    val bytes: Long get() = values.size.toLong() * SLOT_BYTES

    /** Returns the value of the task, or 0 if it is absent. */
    fun get(key: TaskKey): Int = values[slot(key)]

    /** Sets the value of the task, which must not be 0. */
    fun put(
        key: TaskKey,
        value: Int,
    ) {
        var slot = slot(key)
        if (values[slot] == 0) {
            if ((size + 1) * LOAD_FACTOR_DENOMINATOR > values.size * LOAD_FACTOR_NUMERATOR) {
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
        while (values[slot] != 0 && !matches(slot, key)) slot = (slot + 1) and mask
        return slot
    }

    private fun matches(
        slot: Int,
        key: TaskKey,
    ) = low[slot] == key.low && tasks[slot] == key.task && high[slot] == key.high

    private fun hash(key: TaskKey): Int {
        val mixed = (key.low xor (key.high * HASH_MULTIPLIER) xor key.task.toLong()) * HASH_MULTIPLIER
        return (mixed ushr Int.SIZE_BITS).toInt()
    }

    private fun grow() {
        val old = OldArrays(high, low, tasks, values)
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

    private class OldArrays(
        val high: LongArray,
        val low: LongArray,
        val tasks: IntArray,
        val values: IntArray,
    )

    companion object {
        /** Memory of one slot (bytes). */
        const val SLOT_BYTES = 24
        private const val INITIAL_CAPACITY = 16
        private const val LOAD_FACTOR_NUMERATOR = 3
        private const val LOAD_FACTOR_DENOMINATOR = 4

        /** 2^64 divided by the golden ratio, for Fibonacci hashing. */
        private const val HASH_MULTIPLIER = -7046029254386353131L
    }
}

/** A task of a submission: the two halves of the submission id and the index of the task. */
internal data class TaskKey(
    val high: Long,
    val low: Long,
    val task: Int,
)
