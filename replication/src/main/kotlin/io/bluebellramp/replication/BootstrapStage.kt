package io.bluebellramp.replication

/** The progress of a member in [ClusterBootstrap]. Only a member in stage [ACTIVE] votes and acknowledges records. */
internal object BootstrapStage {
    /** The data folder was empty at the start, and the stages of the other founding members are not known yet. */
    const val NEW = 0

    /** Every other founding member has answered that it was not yet [ACTIVE]. */
    const val CONFIRMED = 1

    /** Every other founding member has reached at least [CONFIRMED], or one of them is [ACTIVE]. */
    const val ACTIVE = 2
}
