package io.bluebellramp.replication

/** The state that the log replicates. It must be deterministic: the same commands in the same order give the same state and answers. */
interface StateMachine {
    /** Applies the committed [command] at [index] and returns the answer for its proposer. */
    fun apply(
        index: Long,
        command: String,
    ): String

    /** Serializes the whole state. */
    fun snapshot(): String

    /** Replaces the whole state by the one that [snapshot] serialized. */
    fun restore(snapshot: String)
}
