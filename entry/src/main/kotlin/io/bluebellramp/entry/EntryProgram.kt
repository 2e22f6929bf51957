package io.bluebellramp.entry

import io.bluebellramp.core.Clock
import io.bluebellramp.core.IncarnationId
import io.bluebellramp.core.SubmissionId
import io.bluebellramp.core.SystemClock
import io.bluebellramp.messages.EntrySettings
import io.bluebellramp.runtime.Health
import io.bluebellramp.runtime.RunningProgram
import io.bluebellramp.runtime.SharedKey
import io.bluebellramp.runtime.httpLink
import io.bluebellramp.runtime.httpServer
import io.prometheus.metrics.model.registry.PrometheusRegistry
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.Job
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeoutOrNull
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** An entry process: the callers' API, claims, leases and links to agents around one [EntryCore]. */
internal class EntryProgram(
    private val settings: EntrySettings,
    private val clock: Clock = SystemClock,
    registry: PrometheusRegistry = PrometheusRegistry(),
    policies: PlacementPolicies = DefaultPolicies,
    budget: MemoryBudget = MemoryBudget(),
) : RunningProgram,
    EntryLinks,
    Health {
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
    private val key = SharedKey.read(settings.keyFile, settings.listen.host)
    private val http = httpLink(key)
    private val identity =
        EntryIdentity(
            entry = settings.entry,
            incarnation = IncarnationId.next(),
            address = settings.listen,
            site = settings.site,
            zone = settings.zone,
        )
    private val core = EntryCore(identity, settings.queuedTasks, policies, budget)
    private val shell = EntryShell(core, clock, scope)
    private val metrics = EntryMetrics(core, clock, registry, budget)
    private val agents = AgentEndpoint(shell, metrics, scope)
    private val claims = ClaimsClient(http, identity, clock, shell)
    private val peers = PeerClient(http, shell, scope)
    private val leases = LeaseClient(http, settings.controls, clock, shell)
    private val decisions = DecisionLog(settings.entry, budget)
    private val callers =
        CallerApi(
            shell = shell,
            peers = peers,
            reader = SubmissionReader(clock),
            metrics = CallMetrics(clock, registry),
            bodyBytes = settings.bodyBytes,
            budget = budget,
            isLeaving = { isLeaving },
        )
    private val server =
        httpServer(settings.listen, this, registry, key) {
            with(callers) { calls() }
            with(PeerApi(shell, identity)) { peers() }
            with(agents) { agents() }
        }
    private var leasing: Job? = null
    private var logging: Job? = null

    @Volatile
    private var isLeaving = false

    /** Starts to listen and to ask for a lease. */
    fun start(): EntryProgram {
        shell.links = this
        scope.launch { claims.run() }
        scope.launch { claims.runRetries() }
        logging = scope.launch { decisions.run() }
        shell.start(metrics::publish)
        server.start(wait = false)
        leasing = scope.launch { leases.run() }
        return this
    }

    override fun isReady() = !isLeaving && metrics.isLeaseLive()

    override fun stop() =
        runBlocking {
            isLeaving = true
            delay(settings.drainMillis.milliseconds)
            shell.use { leave() }
            answerAll()
            withTimeoutOrNull(STOP_TIMEOUT) { peers.handOver() }
            leasing?.cancel()
            leases.leave()
            server.stop(gracePeriodMillis = LAST_RESPONSES.inWholeMilliseconds, timeoutMillis = STOP_TIMEOUT.inWholeMilliseconds)
            writeLog()
            scope.cancel()
            http.close()
        }

    /** Waits until every submission has its answer and every caller its response. */
    private suspend fun answerAll() {
        while (!shell.use { isIdle }) delay(IDLE_POLL)
        withTimeoutOrNull(STOP_TIMEOUT) { while (!callers.isIdle) delay(IDLE_POLL) }
        delay(LAST_RESPONSES)
    }

    /** Writes the log lines that wait. */
    private suspend fun writeLog() {
        decisions.close()
        withTimeoutOrNull(STOP_TIMEOUT) { logging?.join() }
    }

    override fun claim(claim: Action.Claim) = claims.ask(claim)

    override fun release(submission: SubmissionId) = claims.release(submission)

    override fun follow(follow: Action.Follow) = peers.follow(follow)

    override fun cancelAtOwner(cancel: Action.CancelAtOwner) = peers.cancel(cancel)

    override fun wake(link: LinkId) = agents.wake(link)

    override fun close(link: LinkId) = agents.close(link)

    override fun log(decision: Action) = decisions.add(decision)

    private companion object {
        val IDLE_POLL = 20.milliseconds
        val LAST_RESPONSES = 200.milliseconds
        val STOP_TIMEOUT = 5.seconds
    }
}
