package io.bluebellramp.entry

import io.bluebellramp.core.Clock
import io.bluebellramp.core.IncarnationId
import io.bluebellramp.core.SubmissionId
import io.bluebellramp.core.SystemClock
import io.bluebellramp.messages.EntrySettings
import io.bluebellramp.runtime.Health
import io.bluebellramp.runtime.RunningProgram
import io.bluebellramp.runtime.SharedKey
import io.bluebellramp.runtime.createHttpClient
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

/** An entry process: the API for callers, claims, leases and connections to agents around one [EntryCore]. */
internal class EntryProgram(
    private val settings: EntrySettings,
    private val clock: Clock = SystemClock,
    registry: PrometheusRegistry = PrometheusRegistry(),
    policies: PlacementPolicies = DefaultPlacementPolicies,
    budget: MemoryBudget = MemoryBudget(),
) : RunningProgram,
    ActionHandler,
    Health {
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
    private val key = SharedKey.read(settings.keyFile, settings.listen.host)
    private val http = createHttpClient(key)
    private val identity =
        EntryIdentity(
            entry = settings.entry,
            incarnation = IncarnationId.create(),
            address = settings.listen,
            site = settings.site,
            zone = settings.zone,
        )
    private val core = EntryCore(identity, settings.queuedTasks, policies, budget)
    private val runner = EntryCoreRunner(core, clock, scope)
    private val metrics = EntryMetrics(core, clock, registry, budget)
    private val agents = AgentEndpoint(runner, metrics, scope)
    private val claims = ClaimClient(http, identity, clock, runner)
    private val peers = PeerClient(http, runner, scope)
    private val leases = LeaseClient(http, settings.controls, clock, runner)
    private val decisions = DecisionLog(settings.entry, budget)
    private val callers =
        CallerApi(
            runner = runner,
            peers = peers,
            parser = SubmissionParser(clock),
            metrics = CallMetrics(clock, registry),
            bodyBytes = settings.bodyBytes,
            budget = budget,
            isShuttingDown = { isShuttingDown },
        )
    private val server =
        httpServer(settings.listen, this, registry, key) {
            with(callers) { calls() }
            with(PeerApi(runner, identity)) { peers() }
            with(agents) { agents() }
        }
    private var leaseJob: Job? = null
    private var logJob: Job? = null

    @Volatile
    private var isShuttingDown = false

    /** Starts to listen and to request a lease. */
    fun start(): EntryProgram {
        runner.handler = this
        scope.launch { claims.run() }
        scope.launch { claims.runRetries() }
        logJob = scope.launch { decisions.run() }
        runner.start(metrics::publish)
        server.start(wait = false)
        leaseJob = scope.launch { leases.run() }
        return this
    }

    override fun isReady() = !isShuttingDown && metrics.isLeaseLive()

    override fun stop() =
        runBlocking {
            isShuttingDown = true
            delay(settings.drainMillis.milliseconds)
            runner.withCore { refuseNewSubmissions() }
            awaitAnswers()
            withTimeoutOrNull(STOP_TIMEOUT) { peers.handOverAnswers() }
            leaseJob?.cancel()
            leases.announceLeaving()
            server.stop(gracePeriodMillis = RESPONSE_FLUSH_TIME.inWholeMilliseconds, timeoutMillis = STOP_TIMEOUT.inWholeMilliseconds)
            closeLog()
            scope.cancel()
            http.close()
        }

    /** Waits until every submission has its answer and every caller has its response. */
    private suspend fun awaitAnswers() {
        while (!runner.withCore { isIdle }) delay(IDLE_POLL_INTERVAL)
        withTimeoutOrNull(STOP_TIMEOUT) { while (!callers.isIdle) delay(IDLE_POLL_INTERVAL) }
        delay(RESPONSE_FLUSH_TIME)
    }

    /** Closes the decision log and waits until the queued lines are written. */
    private suspend fun closeLog() {
        decisions.close()
        withTimeoutOrNull(STOP_TIMEOUT) { logJob?.join() }
    }

    override fun claim(claim: Action.Claim) = claims.enqueueClaim(claim)

    override fun release(submission: SubmissionId) = claims.enqueueRelease(submission)

    override fun queryOwner(query: Action.QueryOwner) = peers.queryOwner(query)

    override fun cancelAtOwner(cancel: Action.CancelAtOwner) = peers.cancel(cancel)

    override fun flush(link: LinkId) = agents.flush(link)

    override fun close(link: LinkId) = agents.close(link)

    override fun log(decision: Action) = decisions.add(decision)

    private companion object {
        val IDLE_POLL_INTERVAL = 20.milliseconds
        val RESPONSE_FLUSH_TIME = 200.milliseconds
        val STOP_TIMEOUT = 5.seconds
    }
}
