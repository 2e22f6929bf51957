package io.bluebellramp.replication

/** The state that the log replicates. It is deterministic: the same commands in the same order give the same state and answers. */
interface StateMachine {
    /** Applies the committed [command] at [index] and returns the answer for its proposer. */
    fun apply(
        index: Long,
        command: String,
    ): String

    /** Returns the whole state as text. */
    fun snapshot(): String

    /** Replaces the whole state by that of [snapshot]. */
    fun restore(snapshot: String)
}
