package io.bluebellramp.entry

import io.bluebellramp.core.SubmissionId
import io.bluebellramp.messages.AgentFrame
import io.bluebellramp.messages.EntryFrame
import io.bluebellramp.messages.ErrorBody
import io.bluebellramp.messages.KeptAnswer
import io.bluebellramp.messages.LeaseRequest
import io.bluebellramp.messages.LeaseResponse
import io.bluebellramp.messages.PendingBody
import io.bluebellramp.messages.TargetState
import kotlin.time.Duration

/**
 * The logic of an entry as a state machine without I/O.
 *
 * Call it from one thread at a time with the current time, and carry out the actions that [takeActions] returns after each call.
 */
internal class EntryCore(
    private val identity: EntryIdentity,
    maxQueuedTasks: Int,
    policies: PlacementPolicies = DefaultPlacementPolicies,
    budget: MemoryBudget = MemoryBudget(),
) {
    private val actions = ActionBuffer()
    private val agents: AgentDirectory
    private val dispatcher: Dispatcher
    private val tracker: AttemptTracker
    private val services: ServiceTable
    private val table: SubmissionTable
    private val lifecycle: SubmissionLifecycle
    private var hadLiveLease = false

    /** Counters of events for metrics. */
    val counters = EntryCounters()

    /** The lease and the configuration. */
    val lease = LeaseState(identity.site)

    init {
        agents = AgentDirectory(identity, lease, actions)
        val teams = TeamUsage(lease)
        services = ServiceTable(lease, agents, teams, policies)
        dispatcher = Dispatcher(lease, agents, services, teams, counters, actions)
        tracker = AttemptTracker(dispatcher, services, teams, counters)
        table = SubmissionTable(counters, actions, budget)
        lifecycle =
            SubmissionLifecycle(
                table,
                lease,
                dispatcher,
                AdmissionControl(lease, services, teams, maxQueuedTasks),
                counters,
                actions,
                budget,
            )
        agents.listener = tracker
        agents.demand = services::demand
        tracker.listener = lifecycle
    }

    /** True if every submission has its answer. */
    val isIdle get() = table.size == 0

    /** Number of submissions without an answer. */
    val openSubmissions get() = table.size

    /** Number of waiting tasks and requests. */
    val waiting get() = services.waiting

    /** Number of connected agents. */
    val connectedAgents get() = agents.connected.size

    /** The other live entries. */
    val otherEntries get() = lease.peers.filter { it.incarnation != identity.incarnation }

    /** Returns the actions since the last call. */
    fun takeActions(): List<Action> = actions.takeAll()

    /** Refuses new submissions from now on. */
    fun refuseNewSubmissions() {
        lifecycle.isShuttingDown = true
    }

    /** Returns why [spec] can't be accepted with the current configuration, or null. */
    fun checkLimits(
        spec: SubmissionSpec,
        now: Duration,
    ): ErrorBody? {
        advance(now)
        return lifecycle.checkLimits(spec)
    }

    /** Accepts a submission. Returns the reply, or null if it will follow as [Action.Deliver]. */
    fun submit(
        spec: SubmissionSpec,
        now: Duration,
    ): Reply? {
        advance(now)
        return lifecycle.submit(spec)
    }

    /** Returns what this entry knows about [id]. */
    fun lookup(id: SubmissionId): LookupResult = table.lookup(id)

    /** Returns the progress of [id] if this entry owns it, else null. */
    fun progress(id: SubmissionId): PendingBody? {
        val submission = table[id]?.takeIf { it.phase == SubmissionPhase.OPEN || it.phase == SubmissionPhase.CLOSING } ?: return null
        return PendingBody(submission = id, tasks = submission.size, tasksDone = submission.doneTasks)
    }

    /** Records that a caller has received the full answer to [id]. */
    fun markFetched(id: SubmissionId) = table.markFetched(id)

    /** Returns the final answers that no caller has received. */
    fun unfetchedAnswers(): List<KeptAnswer> = table.unfetchedAnswers()

    /** Imports the final answers of an entry that shuts down. */
    fun importAnswers(
        answers: List<KeptAnswer>,
        now: Duration,
    ) {
        advance(now)
        answers.forEach(table::importAnswer)
    }

    /** Releases a claim on [id] unless this entry knows the id. */
    fun releaseUnknown(id: SubmissionId) = lifecycle.releaseUnknown(id)

    /** Cancels [id]. Returns false if the id is unknown. */
    fun cancel(
        id: SubmissionId,
        now: Duration,
    ): Boolean {
        advance(now)
        return lifecycle.cancel(id)
    }

    /** Processes the result of [Action.Claim]. */
    fun onClaimResult(
        id: SubmissionId,
        result: ClaimResult,
        now: Duration,
    ) {
        advance(now)
        lifecycle.ownership.onClaimResult(id, result)
    }

    /** Processes the reply to [Action.QueryOwner]. */
    fun onOwnerReply(
        id: SubmissionId,
        result: OwnerReply,
        now: Duration,
    ) {
        advance(now)
        lifecycle.ownership.onOwnerReply(id, result)
    }

    /** Returns the next lease request. */
    fun leaseRequest(
        waitMillis: Long,
        leaving: Boolean,
        now: Duration,
    ) = LeaseRequest(
        entry = identity.entry,
        incarnation = identity.incarnation,
        address = identity.address,
        site = identity.site,
        zone = identity.zone,
        revision = lease.revision,
        oldestPermit = agents.oldestPermit(now),
        agents = agents.connected.size,
        waitMillis = waitMillis,
        leaving = leaving,
    )

    /** Processes a lease response to the request that was sent at [sent]. */
    fun onLeaseResponse(
        response: LeaseResponse,
        sent: Duration,
        now: Duration,
    ) {
        advance(now)
        val before = lease.revision
        if (!lease.renew(response, sent)) return
        if (lease.revision > before) agents.renewPermits()
        hadLiveLease = lease.isLive(now)
        agents.connected.filter { !lease.isInService(it.zone, it.target?.target) }.forEach { dispatcher.returnCredits(it) }
        services.refreshSlots()
        lifecycle.tick()
        dispatcher.placeAllTasks()
    }

    /** Processes a frame from an agent. */
    fun onFrame(
        link: LinkId,
        frame: AgentFrame,
        now: Duration,
    ) {
        advance(now)
        frame.hello?.let { agents.attach(link, it, now) }
        val session = agents.session(link) ?: return
        frame.target?.let { replaceTarget(session, it) }
        frame.permitRequest?.let {
            agents.acknowledge(session, it.revision)
            session.lastPermitRequest = it
            session.outbox.permitRequest = it
            agents.requestFlush(session)
        }
        frame.outcomes.forEach { tracker.onOutcome(session, it) }
        if (frame.leaving) {
            session.isLeaving = true
            dispatcher.returnCredits(session)
        }
        frame.recalled?.let { dispatcher.returnCredits(session, it.slots, it.connections) }
        frame.credits?.let { dispatcher.grant(session, it.slots, it.connections) }
        session.service?.let(dispatcher::placeTasks)
    }

    private fun replaceTarget(
        session: AgentSession,
        target: TargetState,
    ) {
        if (session.target?.target != target.target || !target.present) dispatcher.dropCredits(session)
        session.target = target
        services.refreshSlots()
        agents.requestFlush(session)
    }

    /** Processes the end of an agent's connection. */
    fun onDisconnected(
        link: LinkId,
        now: Duration,
    ) {
        advance(now)
        agents.detach(link, now)
        services.refreshSlots()
        dispatcher.placeAllTasks()
    }

    /** Returns everything pending for [link] as one frame, or null if nothing is pending. */
    fun takeFrame(
        link: LinkId,
        now: Duration,
    ): EntryFrame? {
        advance(now)
        return agents.takeFrame(link, now)
    }

    /** Runs time-based work. Must be called every few tens of milliseconds at the latest. */
    fun tick(now: Duration) {
        advance(now)
        agents.expire(now)
        lifecycle.tick()
        table.expireAnswers()
        dispatcher.placeAllTasks()
        agents.flushOutdatedLinks()
    }

    private fun advance(now: Duration) {
        services.now = now
        if (hadLiveLease && !lease.isLive(now)) {
            hadLiveLease = false
            lifecycle.ownership.onLeaseExpired()
        }
        lifecycle.advance(now)
    }
}
