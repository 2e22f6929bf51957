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
import io.bluebellramp.replication.LogStart
import io.bluebellramp.replication.LogStatus
import io.bluebellramp.replication.LogTransport
import io.bluebellramp.replication.StorageError
import io.bluebellramp.runtime.Decision
import io.bluebellramp.runtime.logDecision
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
 * Keeps a member of the replicated log running in [folder]: a disk that refuses a write ends the member, and it is started again from
 * what the disk holds. A damaged log counts as a lost disk.
 *
 * @param onState called with each state that the log has committed
 */
internal class LogHost(
    private val folder: Path,
    private val self: Address,
    isFounding: Boolean,
    private val transport: LogTransport,
    private val clock: Clock,
    private val onState: (SharedState) -> Unit,
) : AutoCloseable {
    /** False once the folder was set aside: a founder that forgot what it held must not take part under its old id. */
    @Volatile
    private var mayFound = isFounding
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
    private val failures = Channel<StorageError>(Channel.CONFLATED)

    @Volatile
    private var running: Pair<MemberIdentity, LogMember>? = null

    @Volatile
    private var machine: CatalogMachine? = null

    /** The member, or null while its disk cannot be used. */
    val member: LogMember? get() = running?.second

    /** Who this member is, or null while its disk cannot be used. */
    val identity: MemberAddress? get() = running?.first?.let { MemberAddress(it.member, self) }

    /** True if the folder tells who this member is. */
    val hasIdentity: Boolean get() = MemberIdentity.isIn(folder)

    /** True if this member waits to be added. */
    val isJoining: Boolean
        get() =
            running?.let { (identity, log) ->
                log
                    .status()
                    .membership.voters
                    .none { it.member == identity.member }
            } == true

    /** Returns the state as of the last applied record, or null while the disk cannot be used. */
    fun state(): SharedState? = machine?.state?.value

    /**
     * Starts the member, and again after each failure.
     *
     * @param founders links' addresses of the first members
     */
    fun start(founders: List<Address>) {
        scope.launch {
            while (isActive) {
                val open = open(founders)
                if (open != null) {
                    failures.receive()
                    open.close()
                    running = null
                }
                delay(RESTART_PERIOD)
            }
        }
    }

    /** Answers a message of another member, without a body if it is for another one. */
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

    /** Gives up what the disk holds and joins as a new member, because the others have removed this one. */
    fun startAfresh() {
        val former = running ?: return
        running = null
        former.second.close()
        setAside("removed by the other members")
        failures.trySend(StorageError.Failed("removed by the other members"))
    }

    override fun close() {
        scope.cancel()
        member?.close()
    }

    private suspend fun open(founders: List<Address>): LogMember? {
        val identity =
            try {
                MemberIdentity.of(folder, self, founders, mayFound)
            } catch (e: IOException) {
                Logger.error("The data folder cannot be used: $e")
                return null
            } catch (e: SerializationException) {
                setAside("the identity of the member cannot be read: ${e.message}")
                return null
            }
        val machine = CatalogMachine()
        val log =
            LogMember(
                self = MemberAddress(identity.member, self),
                founding = identity.founders,
                joining = identity.founders.isEmpty(),
                folder = folder.resolve(LOG),
                machine = machine,
                transport = transport,
                clock = clock,
                settings = SETTINGS,
                listener = Listener(identity),
            )
        return when (val start = log.start()) {
            LogStart.Started -> log.also { follow(it, machine, identity) }
            is LogStart.Refused -> null.also { refused(start.error) }
        }
    }

    private fun follow(
        log: LogMember,
        machine: CatalogMachine,
        identity: MemberIdentity,
    ): Job {
        this.machine = machine
        running = identity to log
        logDecision(Decision(kind = "log_open", reason = "member ${identity.member}, founders ${identity.founders.size}"))
        return scope.launch {
            machine.state.collect { if (running?.second === log) onState(it) }
        }
    }

    private fun refused(error: StorageError) {
        Logger.error("The log cannot be used: ${error.message}")
        if (error is StorageError.Corrupt) setAside(error.message)
    }

    private fun setAside(reason: String) {
        mayFound = false
        Logger.error("The folder of the log is set aside; this member joins as a new one: $reason")
        try {
            Files.move(folder, folder.resolveSibling("${folder.fileName}-aside"), StandardCopyOption.REPLACE_EXISTING)
        } catch (e: IOException) {
            Logger.warn("The folder of the log cannot be moved, its files are removed: $e")
            folder.toFile().listFiles()?.forEach { it.deleteRecursively() }
        }
    }

    private inner class Listener(
        private val identity: MemberIdentity,
    ) : LogListener {
        override fun onLeadership(status: LogStatus) {
            val leader = status.leader?.member ?: "none"
            val reason = "term ${status.term}: ${identity.member} is ${status.role.name.lowercase()}, leader $leader"
            logDecision(Decision(kind = "election", reason = reason))
        }

        override fun onStorageFailure(error: StorageError) {
            Logger.error("The log of ${identity.member} has stopped: ${error.message}")
            failures.trySend(error)
        }
    }

    private companion object {
        const val LOG = "log"

        /** A member shares its core with an entry and may stand still for some hundred milliseconds. */
        const val ELECTION_MILLIS = 700L
        const val HEARTBEAT_MILLIS = 150L

        /** A record may hold a catalog of 100 kB, and the smallest disk has 128 MB. */
        const val SNAPSHOT_RECORDS = 60

        /** Several heartbeats. A newcomer that is only slow is taken up again, and one that lost its disk again does not bar the next one. */
        const val LEARNER_SILENCE_MILLIS = 1000L

        val SETTINGS =
            LogSettings(
                electionMillis = ELECTION_MILLIS,
                heartbeatMillis = HEARTBEAT_MILLIS,
                snapshotRecords = SNAPSHOT_RECORDS,
                learnerSilenceMillis = LEARNER_SILENCE_MILLIS,
                electsAtStart = true,
                namesReceiver = true,
            )

        /** How often a disk that refuses is tried. */
        val RESTART_PERIOD = 300.milliseconds
    }
}
