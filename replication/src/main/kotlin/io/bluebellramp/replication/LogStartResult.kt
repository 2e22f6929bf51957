package io.bluebellramp.replication

/** The result of [LogMember.start]. */
sealed interface LogStartResult {
    /** The member is running. */
    data object Started : LogStartResult

    /** The data folder could not be opened or written; the member is not running. */
    data class Refused(
        val error: StorageError,
    ) : LogStartResult
}
