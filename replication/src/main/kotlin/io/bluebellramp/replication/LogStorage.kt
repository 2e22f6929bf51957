package io.bluebellramp.replication

import io.bluebellramp.core.MemberId
import io.bluebellramp.messages.LogRecord
import io.bluebellramp.messages.Membership
import kotlinx.serialization.Serializable

/**
 * The durable state of a member besides its log.
 *
 * @property stage how far the founding of the cluster has come, see [FoundingStage]
 */
@Serializable
internal data class VoteState(
    val member: MemberId,
    val term: Long = 0,
    val votedFor: MemberId? = null,
    val stage: Int = FoundingStage.NEW,
    val joining: Boolean = false,
)

/** A snapshot of the state machine and of the membership as of [index]. */
@Serializable
internal data class StoredSnapshot(
    val index: Long,
    val term: Long,
    val membership: Membership,
    val body: String,
)

/** What a data folder holds. [vote] is null if the folder is empty. */
internal data class StoredState(
    val vote: VoteState?,
    val snapshot: StoredSnapshot?,
    val records: List<LogRecord>,
)

/** A change of the durable state. Changes are made durable in the order given. */
internal sealed interface StorageWrite {
    /** Replaces the [VoteState]. */
    data class Vote(
        val state: VoteState,
    ) : StorageWrite

    /** Appends [records] and drops all earlier records from the first index on. */
    data class Append(
        val records: List<LogRecord>,
    ) : StorageWrite

    /** Replaces the snapshot and the whole log by [snapshot] and [remaining]. */
    data class Snapshot(
        val snapshot: StoredSnapshot,
        val remaining: List<LogRecord>,
    ) : StorageWrite
}

/** Why a data folder can't be used. */
sealed interface StorageError {
    /** One sentence for people. */
    val message: String

    /** The folder holds the state of [found], another member. */
    data class OtherMember(
        val folder: String,
        val found: MemberId,
    ) : StorageError {
        override val message get() = "data folder $folder belongs to member $found"
    }

    /** [file] is damaged at [offset] (bytes), before its end. */
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

    /** The file system refused an operation. */
    data class Failed(
        override val message: String,
    ) : StorageError
}

/** What opening a storage gave. */
internal sealed interface StorageOpening {
    data class Opened(
        val state: StoredState,
    ) : StorageOpening

    data class Refused(
        val error: StorageError,
    ) : StorageOpening
}

/** Keeps the durable state of one member. Used from one thread at a time. */
internal interface LogStorage : AutoCloseable {
    /** Reads the state for [member] and takes exclusive use of it. */
    fun open(member: MemberId): StorageOpening

    /** Makes [writes] durable, all of them before it returns. Returns an error after which the storage must not be used again. */
    fun persist(writes: List<StorageWrite>): StorageError?
}
