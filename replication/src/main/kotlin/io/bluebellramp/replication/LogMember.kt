package io.bluebellramp.replication

import io.bluebellramp.core.Clock
import io.bluebellramp.messages.AppendRequest
import io.bluebellramp.messages.AppendResponse
import io.bluebellramp.messages.MemberAddress
import io.bluebellramp.messages.Membership
import io.bluebellramp.messages.MembershipRequest
import io.bluebellramp.messages.SnapshotRequest
import io.bluebellramp.messages.SnapshotResponse
import io.bluebellramp.messages.VoteRequest
import io.bluebellramp.messages.VoteResponse
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.asCoroutineDispatcher
import kotlinx.coroutines.cancel
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.delay
import kotlinx.coroutines.job
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withContext
import java.nio.file.Path
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.Executors
import java.util.concurrent.atomic.AtomicBoolean
import java.util.concurrent.atomic.AtomicInteger
import java.util.concurrent.atomic.AtomicLong
import kotlin.random.Random
import kotlin.time.Duration

/**
 * A member of the replicated log: runs [RaftCore] with a disk, a network and a clock.
 *
 * @param foundingMembers the initial members of a new cluster; ignored once the folder holds a membership
 * @param joining true for a member that starts with an empty folder and waits to be added to an existing cluster
 * @param stateMachine the replicated state; it is never called concurrently
 */
class LogMember internal constructor(
    private val self: MemberAddress,
    private val foundingMembers: List<MemberAddress>,
    private val joining: Boolean,
    private val storage: LogStorage,
    private val stateMachine: StateMachine,
    private val transport: LogTransport,
    private val clock: Clock,
    private val settings: LogSettings,
    private val listener: LogListener,
) : ReplicatedLog,
    AutoCloseable {
    /** Creates a member that stores its files in [folder]. */
    constructor(
        self: MemberAddress,
        foundingMembers: List<MemberAddress>,
        joining: Boolean,
        folder: Path,
        stateMachine: StateMachine,
        transport: LogTransport,
        clock: Clock,
        settings: LogSettings = LogSettings(),
        listener: LogListener = object : LogListener {},
    ) : this(self, foundingMembers, joining, fileStorage(folder, listener), stateMachine, transport, clock, settings, listener)

    private val diskDispatcher =
        Executors
            .newSingleThreadExecutor {
                Thread(
                    it,
                    "log-${self.member}",
                ).apply { isDaemon = true }
            }.asCoroutineDispatcher()
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
    private val inputs = Channel<(RaftCore) -> Unit>(Channel.UNLIMITED)
    private val outputs = Channel<Output>(Channel.UNLIMITED)
    private val lastId = AtomicLong()
    private val isClosed = AtomicBoolean()

    /** Number of outputs passed to the disk thread whose effects are not performed yet. */
    private val unfinishedOutputs = AtomicInteger()
    private val pendingCalls = ConcurrentHashMap<Long, CompletableDeferred<PeerResponse>>()
    private val pendingProposals = ConcurrentHashMap<Long, CompletableDeferred<ProposalResult>>()

    @Volatile
    private var leaseEnd: Duration? = null

    @Volatile
    private var dueAt = Duration.ZERO

    @Volatile
    private var status = LogStatus(Role.LEARNER, 0, null, 0, 0, 0, EMPTY_MEMBERSHIP, emptyMap())

    /** Reads the stored state and starts the member. Call it at most once. */
    suspend fun start(): LogStartResult =
        try {
            when (val result = withContext(diskDispatcher) { storage.open(self.member) }) {
                is StorageOpenResult.Refused -> {
                    close()
                    LogStartResult.Refused(result.error)
                }

                is StorageOpenResult.Opened -> {
                    startCore(result.state)
                }
            }
        } catch (e: Throwable) {
            // The lock must be free for the next attempt.
            close()
            throw e
        }

    /** Stops the member immediately. Pending proposals complete with [ProposalResult.Unknown]. */
    override fun close() {
        if (!isClosed.compareAndSet(false, true)) return
        stop()
        runBlocking {
            scope.coroutineContext.job.join()
            withContext(diskDispatcher) { storage.close() }
        }
        diskDispatcher.close()
    }

    override suspend fun propose(command: String): ProposalResult = submitProposal { core, id -> core.onPropose(id, command) }

    override suspend fun changeMembership(request: MembershipRequest): ProposalResult =
        submitProposal { core, id -> core.onMembershipChange(clock.monotonic(), id, request) }

    override fun holdsLeaderLease(): Boolean = leaseEnd?.let { clock.monotonic() < it } ?: false

    override fun status(): LogStatus = status

    override suspend fun onVote(request: VoteRequest): VoteResponse {
        val response = submitRequest(PeerRequest.Vote(request)) as PeerResponse.Vote?
        return response?.body ?: VoteResponse(0, granted = false)
    }

    override suspend fun onAppend(request: AppendRequest): AppendResponse {
        val response = submitRequest(PeerRequest.Append(request)) as PeerResponse.Append?
        return response?.body ?: AppendResponse(0, 0, accepted = false, lastIndex = 0)
    }

    override suspend fun onSnapshot(request: SnapshotRequest): SnapshotResponse {
        val response = submitRequest(PeerRequest.Snapshot(request)) as PeerResponse.Snapshot?
        return response?.body ?: SnapshotResponse(0, 0, 0, installed = false)
    }

    private suspend fun startCore(stored: StoredState): LogStartResult {
        val random = Random(Random.nextLong())
        val core = RaftCore(self, foundingMembers, joining, settings, stateMachine, stored, random, clock.monotonic())
        val first = core.takeOutput(clock.monotonic())
        val error = withContext(diskDispatcher) { storage.persist(first.writes) }
        if (error != null) {
            close()
            return LogStartResult.Refused(error)
        }
        core.onSynced(first.sequenceNumber)
        launchLoops(core)
        return LogStartResult.Started
    }

    private fun launchLoops(core: RaftCore) {
        scope.launch { stopOnError { runCore(core) } }
        scope.launch(diskDispatcher) { stopOnError { persistOutputs() } }
        scope.launch {
            stopOnError {
                while (true) {
                    inputs.trySend { it.onTick(clock.monotonic()) }
                    delay(delayUntilTick())
                }
            }
        }
    }

    /** Runs [work], without which the member can't go on, and stops the member when it ends. */
    private suspend fun stopOnError(work: suspend () -> Unit) {
        try {
            work()
        } catch (e: CancellationException) {
            throw e
        } catch (e: Throwable) {
            listener.onError(e)
        } finally {
            stop()
        }
    }

    /** Returns the time until the next tick. If the due time has passed, the tick for it already waits in [inputs]. */
    private fun delayUntilTick(): Duration {
        val maxDelay = settings.heartbeatInterval / TICKS_PER_HEARTBEAT
        val remaining = dueAt - clock.monotonic()
        return if (remaining <= Duration.ZERO) maxDelay else minOf(remaining, maxDelay)
    }

    /** Passes the inputs to the core, all waiting ones as one batch. */
    private suspend fun runCore(core: RaftCore) {
        for (first in inputs) {
            first(core)
            var next = inputs.tryReceive().getOrNull()
            while (next != null) {
                next(core)
                next = inputs.tryReceive().getOrNull()
            }
            val output = core.takeOutput(clock.monotonic())
            leaseEnd = core.leaseEnd(clock.monotonic())
            dueAt = core.dueAt
            publishStatus(core.status())
            output.immediateEffects.forEach(::perform)
            if (!output.isEmpty) dispatch(output)
        }
    }

    private fun publishStatus(next: LogStatus) {
        val isLeadershipChange = next.role != status.role || next.leader != status.leader
        status = next
        if (isLeadershipChange) listener.onLeadershipChange(next)
    }

    /** Performs the effects that must wait for a sync: on the disk thread after its writes, or immediately if no write is pending. */
    private fun dispatch(output: Output) {
        if (output.writes.isEmpty() && unfinishedOutputs.get() == 0) return output.effectsAfterSync.forEach(::perform)
        unfinishedOutputs.incrementAndGet()
        outputs.trySend(output)
    }

    /** Makes the writes of all waiting outputs durable with as few syncs as possible, and then performs the effects that depend on them. */
    private suspend fun persistOutputs() {
        for (first in outputs) {
            val batch = arrayListOf(first)
            while (true) batch += outputs.tryReceive().getOrNull() ?: break
            val writes = batch.flatMap { it.writes }
            val error = if (writes.isEmpty()) null else storage.persist(writes)
            if (error != null) return stopAfterFailure(error)
            inputs.trySend { it.onSynced(batch.last().sequenceNumber) }
            batch.forEach { output -> output.effectsAfterSync.forEach(::perform) }
            unfinishedOutputs.addAndGet(-batch.size)
        }
    }

    private fun perform(effect: Effect) {
        when (effect) {
            is Effect.Send -> scope.launch { send(effect) }
            is Effect.Reply -> pendingCalls.remove(effect.call)?.complete(effect.response)
            is Effect.CompleteProposal -> pendingProposals.remove(effect.proposal)?.complete(effect.result)
        }
    }

    private suspend fun send(effect: Effect.Send) {
        val response =
            try {
                call(effect)
            } catch (e: CancellationException) {
                throw e
            } catch (e: Exception) {
                listener.onFailedSend(e)
                null
            }
        inputs.trySend { it.onResponse(clock.monotonic(), effect.to, effect.request, response) }
    }

    private suspend fun call(effect: Effect.Send): PeerResponse? =
        when (val request = effect.request) {
            is PeerRequest.Vote -> transport.vote(effect.to, request.body)?.let { PeerResponse.Vote(it) }
            is PeerRequest.Append -> transport.append(effect.to, request.body)?.let { PeerResponse.Append(it) }
            is PeerRequest.Snapshot -> transport.snapshot(effect.to, request.body)?.let { PeerResponse.Snapshot(it) }
        }

    /** Passes [request] to the core and returns its answer, or null if this member has stopped. */
    private suspend fun submitRequest(request: PeerRequest): PeerResponse? {
        val call = lastId.incrementAndGet()
        val answer = CompletableDeferred<PeerResponse>(scope.coroutineContext.job)
        pendingCalls[call] = answer
        val isAccepted = inputs.trySend { it.onRequest(clock.monotonic(), call, request) }.isSuccess
        if (!isAccepted) answer.cancel()
        answer.join()
        pendingCalls.remove(call)
        return if (answer.isCancelled) null else answer.await()
    }

    private suspend fun submitProposal(input: (RaftCore, Long) -> Unit): ProposalResult {
        val id = lastId.incrementAndGet()
        val result = CompletableDeferred<ProposalResult>(scope.coroutineContext.job)
        pendingProposals[id] = result
        val isAccepted = inputs.trySend { input(it, id) }.isSuccess
        if (!isAccepted) result.cancel()
        result.join()
        pendingProposals.remove(id)
        if (!isAccepted) return ProposalResult.NotLeader(null)
        return if (result.isCancelled) ProposalResult.Unknown else result.await()
    }

    private fun stopAfterFailure(error: StorageError) {
        listener.onStorageFailure(error)
        stop()
    }

    private fun stop() {
        leaseEnd = null
        status = status.copy(role = Role.LEARNER, leader = null)
        inputs.close()
        scope.cancel()
    }

    private companion object {
        const val TICKS_PER_HEARTBEAT = 2
        val EMPTY_MEMBERSHIP = Membership(0, emptyList(), emptyList(), emptyList())
    }
}

private fun fileStorage(
    folder: Path,
    listener: LogListener,
) = FileLogStorage(NioDataFolder(folder), folder.toString(), listener::onSync)
