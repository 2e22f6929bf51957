package io.bluebellramp.entry

/** Metrics of the frames exchanged with agents. */
internal interface FrameMetrics {
    /** Records a frame from an agent. */
    fun recordReceived(characterCount: Int)

    /** Records a frame to an agent. */
    fun recordSent(characterCount: Int)
}
