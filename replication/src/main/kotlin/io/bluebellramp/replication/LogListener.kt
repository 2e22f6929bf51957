package io.bluebellramp.replication

/** Is told what a [LogMember] does. All functions return at once. */
interface LogListener {
    /** A write of records and its sync took [nanos] (ns). */
    fun onSync(nanos: Long) = Unit

    /** The role of the member or the leader that it knows changed. */
    fun onLeadership(status: LogStatus) = Unit

    /** The disk failed; the member has stopped and must be restarted or replaced. */
    fun onStorageFailure(error: StorageError) = Unit
}
