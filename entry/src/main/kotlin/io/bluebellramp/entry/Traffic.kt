package io.bluebellramp.entry

/** Counts the frames to and from agents. */
internal interface Traffic {
    /** Notes a frame from an agent (characters). */
    fun received(length: Int)

    /** Notes a frame to an agent (characters). */
    fun sent(length: Int)
}
