package io.bluebellramp.control.node

import io.bluebellramp.core.Address
import io.bluebellramp.core.Clock
import io.bluebellramp.messages.MemberAddress
import io.bluebellramp.messages.MemberCall
import io.bluebellramp.messages.MemberReply
import io.bluebellramp.messages.SharedState
import io.bluebellramp.replication.LogListener
import io.bluebellramp.replication.LogMember
import io.bluebellramp.replication.LogSettings
import io.bluebellramp.replication.LogStartResult
import io.bluebellramp.replication.LogStatus
import io.bluebellramp.replication.LogTransport
import io.bluebellramp.replication.StorageError
import io.bluebellramp.runtime.Decision
import io.bluebellramp.runtime.logDecision
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.Job
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.delay
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch
import kotlinx.serialization.SerializationException
import org.tinylog.kotlin.Logger
import java.io.IOException
import java.nio.file.Files
import java.nio.file.Path
import java.nio.file.StandardCopyOption
import kotlin.time.Duration.Companion.milliseconds

/**
 * Keeps a member of the replicated log running on [folder]. A failed write stops the member, which is then restarted from the data on
 * disk. A damaged log is treated like a lost disk.
 *
 * @param onState called with each committed state
 */
internal class LogSupervisor(
    private val folder: Path,
    private val self: Address,
    private val transport: LogTransport,
    private val clock: Clock,
    private val onState: (SharedState) -> Unit,
) : AutoCloseable {
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
    private val failures = Channel<Unit>(Channel.CONFLATED)

    @Volatile
    private var running: Pair<MemberIdentity, LogMember>? = null

    @Volatile
    private var machine: CatalogStateMachine? = null

    /** The member, or null while its disk is unusable. */
    val member: LogMember? get() = running?.second

    /** The id and address of this member, or null while its disk is unusable. */
    val identity: MemberAddress? get() = running?.first?.let { MemberAddress(it.member, self) }

    /** True if the folder holds the identity of this member. */
    val hasIdentity: Boolean get() = MemberIdentity.existsIn(folder)

    /** The initial members while this member is one of them and waits for the others to found the cluster; otherwise empty. */
    val awaitedFounders: List<Address>
        get() {
            val (identity, log) = running ?: return emptyList()
            val membership = log.status().membership
            return if (membership.voters.isEmpty()) identity.founders.map { it.address } else emptyList()
        }

    /** True if this member is not a voter and waits to be added. */
    val isJoining: Boolean
        get() =
            running?.let { (identity, log) ->
                log
                    .status()
                    .membership.voters
                    .none { it.member == identity.member }
            } == true

    /** Returns the state after the last applied record, or null before the member has started. */
    fun state(): SharedState? = machine?.state?.value

    /**
     * Starts the member, and restarts it after each failure.
     *
     * @param founders link addresses of the initial members if one with an empty folder is to be one of them; empty if it joins
     */
    fun start(founders: List<Address>) {
        scope.launch {
            while (isActive) {
                try {
                    runMember(founders)
                } catch (e: CancellationException) {
                    throw e
                } catch (e: Throwable) {
                    Logger.error(e, "The replicated log cannot be opened or run; retrying")
                }
                delay(RESTART_DELAY)
            }
        }
    }

    /** Runs the member until it fails. Returns at once if its disk is unusable. */
    private suspend fun runMember(founders: List<Address>) {
        val openLog = openMember(founders) ?: return
        failures.receive()
        running = null
        openLog.close()
    }

    /** Answers a message from another member; the reply is empty if the message is meant for a different member. */
    suspend fun answer(call: MemberCall): MemberReply {
        val (identity, log) = running ?: return MemberReply(call.id)
        if (call.to != identity.member) return MemberReply(call.id)
        val vote = call.vote
        val append = call.append
        val snapshot = call.snapshot
        return when {
            vote != null -> MemberReply(call.id, vote = log.onVote(vote))
            append != null -> MemberReply(call.id, append = log.onAppend(append))
            snapshot != null -> MemberReply(call.id, snapshot = log.onSnapshot(snapshot))
            else -> MemberReply(call.id)
        }
    }

    /** Discards the log and joins as a new member, because the other members have removed this one. */
    fun rejoinAsNewMember() {
        val removed = running ?: return
        running = null
        removed.second.close()
        discardLog("removed by the other members")
        failures.trySend(Unit)
    }

    override fun close() {
        scope.cancel()
        member?.close()
    }

    private suspend fun openMember(founders: List<Address>): LogMember? {
        val identity =
            try {
                MemberIdentity.loadOrCreate(folder, self, founders, isFounding = founders.isNotEmpty())
            } catch (e: IOException) {
                Logger.error("Cannot open the data folder; retrying: $e")
                return null
            } catch (e: SerializationException) {
                discardLog("the identity of the member cannot be read: ${e.message}")
                return null
            }
        val machine = CatalogStateMachine()
        val log =
            LogMember(
                self = MemberAddress(identity.member, self),
                foundingMembers = identity.founders,
                joining = identity.founders.isEmpty(),
                folder = folder.resolve(LOG_FOLDER_NAME),
                stateMachine = machine,
                transport = transport,
                clock = clock,
                settings = LOG_SETTINGS,
                listener = MemberLogListener(identity),
            )
        return when (val start = log.start()) {
            LogStartResult.Started -> log.also { publishStates(it, machine, identity) }
            is LogStartResult.Refused -> null.also { handleRefusedStart(start.error) }
        }
    }

    private fun publishStates(
        log: LogMember,
        machine: CatalogStateMachine,
        identity: MemberIdentity,
    ): Job {
        this.machine = machine
        running = identity to log
        logDecision(Decision(kind = "log_open", reason = "member ${identity.member}, founders ${identity.founders.size}"))
        return scope.launch {
            machine.state.collect { if (running?.second === log) onState(it) }
        }
    }

    private fun handleRefusedStart(error: StorageError) {
        Logger.error("Cannot open the replicated log: ${error.message}")
        // The log of another member was left by a process that was killed while it discarded its log.
        if (error is StorageError.Corrupt || error is StorageError.OtherMember) discardLog(error.message)
    }

    /**
     * Sets the log aside after the member got a new identity. In this order a process that is killed in between never leaves the old identity
     * without its log, under which the member would vote again and found a second cluster.
     */
    private fun discardLog(reason: String) {
        Logger.error("Setting the log aside and joining as a new member: $reason")
        val log = folder.resolve(LOG_FOLDER_NAME)
        val aside = folder.resolve(ASIDE_FOLDER_NAME)
        try {
            aside.toFile().deleteRecursively()
            MemberIdentity.renew(folder, self)
            if (Files.exists(log)) Files.move(log, aside, StandardCopyOption.ATOMIC_MOVE)
        } catch (e: IOException) {
            Logger.error("Cannot set the log aside; retrying: $e")
        }
    }

    private inner class MemberLogListener(
        private val identity: MemberIdentity,
    ) : LogListener {
        override fun onLeadershipChange(status: LogStatus) {
            val leader = status.leader?.member ?: "none"
            val reason = "term ${status.term}: ${identity.member} is ${status.role.name.lowercase()}, leader $leader"
            logDecision(Decision(kind = "election", reason = reason))
        }

        override fun onStorageFailure(error: StorageError) {
            Logger.error("The replicated log of member ${identity.member} has stopped after a storage failure: ${error.message}")
            failures.trySend(Unit)
        }

        override fun onError(cause: Throwable) {
            Logger.error(cause, "The replicated log of member ${identity.member} has stopped after an error")
            failures.trySend(Unit)
        }

        override fun onFailedSend(cause: Exception) = Logger.error(cause, "A message of the replicated log could not be sent")
    }

    private companion object {
        const val LOG_FOLDER_NAME = "log"

        /** The last log that was discarded, for a later look at it. */
        const val ASIDE_FOLDER_NAME = "log-aside"

        /** A member shares its CPU core with an entry and may stall for several hundred milliseconds. */
        const val ELECTION_MILLIS = 700L
        const val HEARTBEAT_MILLIS = 150L

        /** A record may hold a catalog of 100 kB, and the smallest disk has 128 MB. */
        const val SNAPSHOT_RECORDS = 60

        /** Several heartbeats. A slow new member is tried again, and one that lost its disk again does not block the next one. */
        const val LEARNER_TIMEOUT_MILLIS = 1000L

        val LOG_SETTINGS =
            LogSettings(
                electionMillis = ELECTION_MILLIS,
                heartbeatMillis = HEARTBEAT_MILLIS,
                snapshotRecords = SNAPSHOT_RECORDS,
                learnerTimeoutMillis = LEARNER_TIMEOUT_MILLIS,
                electsAtStart = true,
                messagesCarryReceiverId = true,
            )

        /** Delay before the member is started again after a disk failure. */
        val RESTART_DELAY = 300.milliseconds
    }
}
