package io.bluebellramp.replication

/** How far the founding of the cluster has come at a member. Only a member at [ACTIVE] votes or acknowledges records. */
internal object FoundingStage {
    /** The folder was empty at the start; nothing is known of the others. */
    const val NEW = 0

    /** Every other founding member has said that it was not yet active. */
    const val CONFIRMED = 1

    /** Every other founding member has reached [CONFIRMED]. */
    const val ACTIVE = 2
}
