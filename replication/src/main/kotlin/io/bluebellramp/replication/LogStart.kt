package io.bluebellramp.replication

/** What starting a [LogMember] gave. */
sealed interface LogStart {
    /** The member runs. */
    data object Started : LogStart

    /** The data folder can't be used; the member does not run. */
    data class Refused(
        val error: StorageError,
    ) : LogStart
}
