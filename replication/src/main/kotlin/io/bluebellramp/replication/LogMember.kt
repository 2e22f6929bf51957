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
 * A member of the replicated log.
 *
 * @param founding the first members of a new cluster; ignored once the folder holds a membership
 * @param joining true for a member that starts empty and waits to be added
 * @param machine called from one thread at a time, never concurrently
 */
class LogMember internal constructor(
    private val self: MemberAddress,
    private val founding: List<MemberAddress>,
    private val joining: Boolean,
    private val storage: LogStorage,
    private val machine: StateMachine,
    private val transport: LogTransport,
    private val clock: Clock,
    private val settings: LogSettings,
    private val listener: LogListener,
) : ReplicatedLog,
    AutoCloseable {
    /** A member with its files in [folder]. */
    constructor(
        self: MemberAddress,
        founding: List<MemberAddress>,
        joining: Boolean,
        folder: Path,
        machine: StateMachine,
        transport: LogTransport,
        clock: Clock,
        settings: LogSettings = LogSettings(),
        listener: LogListener = object : LogListener {},
    ) : this(self, founding, joining, FileLogStorage(folder, listener::onSync), machine, transport, clock, settings, listener)

    private val disk =
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
    private val numbers = AtomicLong()
    private val isClosed = AtomicBoolean()

    /** Outputs that the disk has not finished. */
    private val unfinished = AtomicInteger()
    private val calls = ConcurrentHashMap<Long, CompletableDeferred<PeerResponse>>()
    private val proposals = ConcurrentHashMap<Long, CompletableDeferred<ProposalResult>>()

    @Volatile
    private var leaseEnd: Duration? = null

    @Volatile
    private var due = Duration.ZERO

    @Volatile
    private var status = LogStatus(Role.LEARNER, 0, null, 0, 0, 0, NO_MEMBERS, emptyMap())

    /** Reads the folder and takes part from then on. Call it once. */
    suspend fun start(): LogStart =
        when (val opening = withContext(disk) { storage.open(self.member) }) {
            is StorageOpening.Refused -> {
                close()
                LogStart.Refused(opening.error)
            }

            is StorageOpening.Opened -> {
                run(opening.state)
            }
        }

    /** Stops at once. Open proposals end as [ProposalResult.Unknown]. */
    override fun close() {
        if (!isClosed.compareAndSet(false, true)) return
        stop()
        runBlocking {
            scope.coroutineContext.job.join()
            withContext(disk) { storage.close() }
        }
        disk.close()
    }

    override suspend fun propose(command: String): ProposalResult = finish { core, id -> core.onPropose(id, command) }

    override suspend fun changeMembership(request: MembershipRequest): ProposalResult =
        finish { core, id -> core.onChange(clock.monotonic(), id, request) }

    override fun holdsMajority(): Boolean = leaseEnd?.let { clock.monotonic() < it } ?: false

    override fun status(): LogStatus = status

    override suspend fun onVote(request: VoteRequest): VoteResponse {
        val response = answer(PeerRequest.Vote(request)) as PeerResponse.Vote?
        return response?.body ?: VoteResponse(0, granted = false)
    }

    override suspend fun onAppend(request: AppendRequest): AppendResponse {
        val response = answer(PeerRequest.Append(request)) as PeerResponse.Append?
        return response?.body ?: AppendResponse(0, 0, accepted = false, lastIndex = 0)
    }

    override suspend fun onSnapshot(request: SnapshotRequest): SnapshotResponse {
        val response = answer(PeerRequest.Snapshot(request)) as PeerResponse.Snapshot?
        return response?.body ?: SnapshotResponse(0, 0, 0, installed = false)
    }

    private suspend fun run(stored: StoredState): LogStart {
        val random = Random(Random.nextLong())
        val core = RaftCore(self, founding, joining, settings, machine, stored, random, clock.monotonic())
        val first = core.take(clock.monotonic())
        val error = withContext(disk) { storage.persist(first.writes) }
        if (error != null) {
            close()
            return LogStart.Refused(error)
        }
        core.onSynced(first.number)
        launchAll(core)
        return LogStart.Started
    }

    private fun launchAll(core: RaftCore) {
        scope.launch {
            try {
                drive(core)
            } finally {
                stop()
            }
        }
        scope.launch(disk) { persist() }
        scope.launch {
            while (true) {
                inputs.trySend { it.onTick(clock.monotonic()) }
                delay(untilTick())
            }
        }
    }

    /** Time until the core has something to do. A due time that has passed is that of a tick that waits in [inputs]. */
    private fun untilTick(): Duration {
        val longest = settings.heartbeat / TICKS_PER_HEARTBEAT
        val left = due - clock.monotonic()
        return if (left <= Duration.ZERO) longest else minOf(left, longest)
    }

    /** Feeds the core, all waiting inputs as one batch. */
    private suspend fun drive(core: RaftCore) {
        for (first in inputs) {
            first(core)
            var next = inputs.tryReceive().getOrNull()
            while (next != null) {
                next(core)
                next = inputs.tryReceive().getOrNull()
            }
            val output = core.take(clock.monotonic())
            leaseEnd = core.leaseEnd(clock.monotonic())
            due = core.due
            note(core.status())
            output.atOnce.forEach(::perform)
            if (!output.isEmpty) complete(output)
        }
    }

    private fun note(next: LogStatus) {
        val isNews = next.role != status.role || next.leader != status.leader
        status = next
        if (isNews) listener.onLeadership(next)
    }

    /** What waits for no write is done at once, without a way through the thread of the disk. */
    private fun complete(output: Output) {
        if (output.writes.isEmpty() && unfinished.get() == 0) return output.afterSync.forEach(::perform)
        unfinished.incrementAndGet()
        outputs.trySend(output)
    }

    /** Makes outputs durable, all waiting ones with as few syncs as possible, and then performs what waited for it. */
    private suspend fun persist() {
        for (first in outputs) {
            val batch = arrayListOf(first)
            while (true) batch += outputs.tryReceive().getOrNull() ?: break
            val writes = batch.flatMap { it.writes }
            val error = if (writes.isEmpty()) null else storage.persist(writes)
            if (error != null) return fail(error)
            inputs.trySend { it.onSynced(batch.last().number) }
            batch.forEach { output -> output.afterSync.forEach(::perform) }
            unfinished.addAndGet(-batch.size)
        }
    }

    private fun perform(effect: Effect) {
        when (effect) {
            is Effect.Send -> scope.launch { send(effect) }
            is Effect.Reply -> calls.remove(effect.call)?.complete(effect.response)
            is Effect.Finish -> proposals.remove(effect.proposal)?.complete(effect.result)
        }
    }

    private suspend fun send(effect: Effect.Send) {
        val response =
            when (val request = effect.request) {
                is PeerRequest.Vote -> transport.vote(effect.to, request.body)?.let { PeerResponse.Vote(it) }
                is PeerRequest.Append -> transport.append(effect.to, request.body)?.let { PeerResponse.Append(it) }
                is PeerRequest.Snapshot -> transport.snapshot(effect.to, request.body)?.let { PeerResponse.Snapshot(it) }
            }
        inputs.trySend { it.onResponse(clock.monotonic(), effect.to, effect.request, response) }
    }

    /** Returns the answer of the core, or null if this member has stopped. */
    private suspend fun answer(request: PeerRequest): PeerResponse? {
        val call = numbers.incrementAndGet()
        val answer = CompletableDeferred<PeerResponse>(scope.coroutineContext.job)
        calls[call] = answer
        val isTaken = inputs.trySend { it.onRequest(clock.monotonic(), call, request) }.isSuccess
        if (!isTaken) answer.cancel()
        answer.join()
        calls.remove(call)
        return if (answer.isCancelled) null else answer.await()
    }

    private suspend fun finish(input: (RaftCore, Long) -> Unit): ProposalResult {
        val id = numbers.incrementAndGet()
        val result = CompletableDeferred<ProposalResult>(scope.coroutineContext.job)
        proposals[id] = result
        val isTaken = inputs.trySend { input(it, id) }.isSuccess
        if (!isTaken) result.cancel()
        result.join()
        proposals.remove(id)
        if (!isTaken) return ProposalResult.NotLeader(null)
        return if (result.isCancelled) ProposalResult.Unknown else result.await()
    }

    private fun fail(error: StorageError) {
        listener.onStorageFailure(error)
        stop()
    }

    private fun stop() {
        leaseEnd = null
        inputs.close()
        scope.cancel()
    }

    private companion object {
        const val TICKS_PER_HEARTBEAT = 2
        val NO_MEMBERS = Membership(0, emptyList(), emptyList(), emptyList())
    }
}
