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
 * The decisions of an entry as a state machine without I/O.
 *
 * Give it the time and its inputs from one thread at a time and carry out what [take] returns after each.
 */
internal class EntryCore(
    private val identity: EntryIdentity,
    queuedTasks: Int,
    policies: PlacementPolicies = DefaultPolicies,
    budget: MemoryBudget = MemoryBudget(),
) {
    private val sink = ActionSink()
    private val agents: AgentDirectory
    private val dispatcher: Dispatcher
    private val tracker: AttemptTracker
    private val services: ServiceTable
    private val table: SubmissionTable
    private val registry: SubmissionRegistry
    private var wasLive = false

    /** What was counted. */
    val counters = Counters()

    /** The lease and the configuration. */
    val lease = LeaseKeeper(identity.site)

    init {
        agents = AgentDirectory(identity, lease, sink)
        val teams = TeamLedger(lease)
        services = ServiceTable(lease, agents, teams, policies)
        dispatcher = Dispatcher(lease, agents, services, teams, counters, sink)
        tracker = AttemptTracker(dispatcher, services, teams, counters)
        table = SubmissionTable(counters, sink, budget)
        registry = SubmissionRegistry(table, lease, dispatcher, Admission(lease, services, teams, queuedTasks), counters, sink, budget)
        agents.listener = tracker
        agents.demand = services::demand
        tracker.listener = registry
    }

    /** True if no submission is without its answer. */
    val isIdle get() = table.size == 0

    /** Submissions without an answer. */
    val openSubmissions get() = table.size

    /** Tasks and requests that wait. */
    val waiting get() = services.waiting

    /** Agents that are connected. */
    val connectedAgents get() = agents.connected.size

    /** The other live entries. */
    val otherEntries get() = lease.peers.filter { it.incarnation != identity.incarnation }

    /** Returns the actions since the last call. */
    fun take(): List<Action> = sink.take()

    /** Refuses new submissions from now on. */
    fun leave() {
        registry.isLeaving = true
    }

    /** Returns why [new] can't be taken with the configuration of now, or null. */
    fun limits(
        new: NewSubmission,
        now: Duration,
    ): ErrorBody? {
        advance(now)
        return registry.limits(new)
    }

    /** Takes a submission. Returns a reply at once, or null if it follows as [Action.Deliver]. */
    fun submit(
        new: NewSubmission,
        now: Duration,
    ): Reply? {
        advance(now)
        return registry.submit(new)
    }

    /** Tells what is known of [id]. */
    fun lookup(id: SubmissionId): Lookup = table.lookup(id)

    /** Tells how far [id] is if this entry owns it, or null. */
    fun progress(id: SubmissionId): PendingBody? {
        val submission = table[id]?.takeIf { it.phase == SubmissionPhase.OPEN || it.phase == SubmissionPhase.CLOSING } ?: return null
        return PendingBody(submission = id, tasks = submission.size, tasksDone = submission.doneTasks)
    }

    /** Notes that a caller has the whole answer to [id]. */
    fun fetched(id: SubmissionId) = table.fetched(id)

    /** Returns the final answers that no caller has fetched. */
    fun unfetched(): List<KeptAnswer> = table.unfetched()

    /** Takes final answers from an entry that ends. */
    fun adopt(
        answers: List<KeptAnswer>,
        now: Duration,
    ) {
        advance(now)
        answers.forEach(table::adopt)
    }

    /** Gives up a claim on [id] unless this entry knows the id. */
    fun releaseUnknown(id: SubmissionId) = registry.releaseUnknown(id)

    /** Cancels [id]. Returns false if it is not known. */
    fun cancel(
        id: SubmissionId,
        now: Duration,
    ): Boolean {
        advance(now)
        return registry.cancel(id)
    }

    /** Takes the verdict on a claim. */
    fun claimed(
        id: SubmissionId,
        result: ClaimResult,
        now: Duration,
    ) {
        advance(now)
        registry.ownership.claimed(id, result)
    }

    /** Takes what the owner said. */
    fun followed(
        id: SubmissionId,
        result: FollowResult,
        now: Duration,
    ) {
        advance(now)
        registry.ownership.followed(id, result)
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

    /** Takes a lease for which the request was sent at [sent]. */
    fun renewed(
        response: LeaseResponse,
        sent: Duration,
        now: Duration,
    ) {
        advance(now)
        val before = lease.revision
        if (!lease.renew(response, sent)) return
        if (lease.revision > before) agents.renewPermits()
        wasLive = lease.isLive(now)
        agents.connected.filter { !lease.isInService(it.zone, it.target?.target) }.forEach { dispatcher.giveBack(it) }
        services.refreshSlots()
        registry.tick()
        dispatcher.runAll()
    }

    /** Takes a frame of an agent. */
    fun frame(
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
            session.lastRequest = it
            session.outbox.permitRequest = it
            agents.wake(session)
        }
        frame.outcomes.forEach { tracker.outcome(session, it) }
        if (frame.leaving) {
            session.isLeaving = true
            dispatcher.giveBack(session)
        }
        frame.recalled?.let { dispatcher.giveBack(session, it.slots, it.connections) }
        frame.credits?.let { dispatcher.grant(session, it.slots, it.connections) }
        session.service?.let(dispatcher::run)
    }

    private fun replaceTarget(
        session: AgentSession,
        target: TargetState,
    ) {
        if (session.target?.target != target.target || !target.present) dispatcher.dropCredits(session)
        session.target = target
        services.refreshSlots()
        agents.wake(session)
    }

    /** Notes that a connection is gone. */
    fun closed(
        link: LinkId,
        now: Duration,
    ) {
        advance(now)
        agents.detach(link, now)
        services.refreshSlots()
        dispatcher.runAll()
    }

    /** Returns what must be sent on [link] as one frame, or null. */
    fun drain(
        link: LinkId,
        now: Duration,
    ): EntryFrame? {
        advance(now)
        return agents.drain(link, now)
    }

    /** Does what is due by time. Call it every few tens of milliseconds. */
    fun tick(now: Duration) {
        advance(now)
        agents.expire(now)
        registry.tick()
        table.forgetOld()
        dispatcher.runAll()
        agents.wakeForNews()
    }

    private fun advance(now: Duration) {
        services.now = now
        if (wasLive && !lease.isLive(now)) {
            wasLive = false
            registry.ownership.leaseLapsed()
        }
        registry.advance(now)
    }
}
