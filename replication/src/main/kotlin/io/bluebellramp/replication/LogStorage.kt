package io.bluebellramp.replication

import io.bluebellramp.core.MemberId
import io.bluebellramp.messages.LogRecord
import io.bluebellramp.messages.Membership
import kotlinx.serialization.Serializable

/**
 * The durable state of a member except its snapshot and its log records.
 *
 * @property stage the progress of the member in the bootstrap of the cluster, one of the values of [BootstrapStage]
 * @property joining true if the member started empty and waits to be added to an existing cluster
 */
@Serializable
internal data class VoteState(
    val member: MemberId,
    val term: Long = 0,
    val votedFor: MemberId? = null,
    val stage: Int = BootstrapStage.NEW,
    val joining: Boolean = false,
)

/** A snapshot of the state machine and of the membership after the record at [index] was applied. */
@Serializable
internal data class StoredSnapshot(
    val index: Long,
    val term: Long,
    val membership: Membership,
    val body: String,
)

/** The content of a data folder. [vote] is null if the folder is empty. */
internal data class StoredState(
    val vote: VoteState?,
    val snapshot: StoredSnapshot?,
    val records: List<LogRecord>,
)

/** A change of the durable state. Changes are made durable in the given order. */
internal sealed interface StorageWrite {
    /** Replaces the [VoteState]. */
    data class Vote(
        val state: VoteState,
    ) : StorageWrite

    /** Appends [records], which replace all stored records from the index of the first one on. */
    data class Append(
        val records: List<LogRecord>,
    ) : StorageWrite

    /** Replaces the stored snapshot by [snapshot], and the whole log by the records [remaining]. */
    data class Snapshot(
        val snapshot: StoredSnapshot,
        val remaining: List<LogRecord>,
    ) : StorageWrite
}

/** The reason why a data folder can't be used. */
sealed interface StorageError {
    /** A description of the error for operators. */
    val message: String

    /** The folder holds the state of another member, [found]. */
    data class OtherMember(
        val folder: String,
        val found: MemberId,
    ) : StorageError {
        override val message get() = "data folder $folder belongs to member $found"
    }

    /** [file] is corrupt at [offset] (bytes), which is not explained by a torn last write. */
    data class Corrupt(
        val file: String,
        val offset: Long,
        val reason: String,
    ) : StorageError {
        override val message get() = "$file is corrupt at byte $offset: $reason"
    }

    /** Another process uses the folder. */
    data class Locked(
        val folder: String,
    ) : StorageError {
        override val message get() = "data folder $folder is in use by another process"
    }

    /** A file system operation failed. */
    data class Failed(
        override val message: String,
    ) : StorageError
}

/** The result of [LogStorage.open]. */
internal sealed interface StorageOpenResult {
    data class Opened(
        val state: StoredState,
    ) : StorageOpenResult

    data class Refused(
        val error: StorageError,
    ) : StorageOpenResult
}

/** Stores the durable state of one member. Not thread-safe. */
internal interface LogStorage : AutoCloseable {
    /** Locks the storage for this process and reads the state of [member]. */
    fun open(member: MemberId): StorageOpenResult

    /** Makes [writes] durable before it returns. Returns null, or an error after which the storage must not be used again. */
    fun persist(writes: List<StorageWrite>): StorageError?
}
