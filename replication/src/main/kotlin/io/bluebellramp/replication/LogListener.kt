package io.bluebellramp.replication

/** Receives events of a [LogMember]. Implementations must not block. */
interface LogListener {
    /** Called after each write of records; the write and its sync took [nanos] (ns). */
    fun onSync(nanos: Long) = Unit

    /** Called when the role of the member or the leader known to it has changed. */
    fun onLeadershipChange(status: LogStatus) = Unit

    /** Called when a message to another member could not be sent because of [cause]. It counts as unanswered. */
    fun onFailedSend(cause: Exception) = Unit

    /** Called when the member has stopped because of [cause], an error in itself. It must be restarted. */
    fun onError(cause: Throwable) = Unit

    /** Called when a write to disk failed. The member has stopped and must be restarted or replaced. */
    fun onStorageFailure(error: StorageError) = Unit
}
