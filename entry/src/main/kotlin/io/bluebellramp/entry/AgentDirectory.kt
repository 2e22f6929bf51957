package io.bluebellramp.entry

import io.bluebellramp.core.AgentId
import io.bluebellramp.core.Revision
import io.bluebellramp.core.ServiceId
import io.bluebellramp.core.TargetId
import io.bluebellramp.messages.AgentHello
import io.bluebellramp.messages.Demand
import io.bluebellramp.messages.Dispatch
import io.bluebellramp.messages.EntryFrame
import io.bluebellramp.messages.EntryHello
import io.bluebellramp.messages.Permit
import io.bluebellramp.placement.DemandChangeFilter
import io.bluebellramp.placement.QueueDemand
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Is notified when a lost connection or agent affects credits or attempts. */
internal interface AgentListener {
    /** The credits that [session] granted are no longer valid. */
    fun creditsLost(session: AgentSession)

    /** [attempt] was never sent to the agent. */
    fun neverSent(attempt: Attempt)

    /** It can no longer be found out whether [attempt] started. */
    fun outcomeLost(attempt: Attempt)
}

/** The agents that are connected or may reconnect, and the frames to send to them. No I/O. */
internal class AgentDirectory(
    private val identity: EntryIdentity,
    private val lease: LeaseState,
    private val actions: ActionBuffer,
) {
    private val sessions = HashMap<AgentId, AgentSession>()
    private val sessionsByLink = HashMap<LinkId, AgentSession>()
    private val permits = IssuedPermits()
    private val demandChangeFilter = DemandChangeFilter()
    lateinit var listener: AgentListener

    /** Returns the demand for a service, which is sent to its agents. */
    lateinit var demand: (ServiceId) -> Demand

    /** The sessions of the connected agents. */
    val connected: Collection<AgentSession> get() = sessionsByLink.values

    fun session(link: LinkId): AgentSession? = sessionsByLink[link]

    /** Returns the session of the connected agent that serves [target] and accepts work, or null. */
    fun sessionOfTarget(target: TargetId): AgentSession? =
        sessionsByLink.values.firstOrNull { it.target?.target == target && it.acceptsWork }

    /** Returns the lowest revision of any issued permit that may still be valid. */
    fun oldestPermit(now: Duration): Revision = permits.oldestRevision(lease.revision, now)

    /** Registers a connection by the hello in its first frame. A connection from another site is closed. */
    fun attach(
        link: LinkId,
        hello: AgentHello,
        now: Duration,
    ) {
        if (hello.site != identity.site) {
            actions += Action.Close(link)
            return
        }
        val existing = sessions[hello.agent]
        existing?.link?.let {
            detach(it, now)
            actions += Action.Close(it)
        }
        if (existing != null && existing.incarnation != hello.incarnation) abandonAttempts(existing)
        val session = if (existing?.incarnation == hello.incarnation) existing else AgentSession(hello)
        sessions[hello.agent] = session
        sessionsByLink[link] = session
        session.attach(link)
        session.outbox.hello = EntryHello(entry = identity.entry, incarnation = identity.incarnation)
        session.unresolvedAttempts.values.forEach { session.outbox.inquiries += it.reference }
        requestFlush(session)
    }

    /** Removes a connection that was closed. Attempts that were not sent yet are reported as never sent. */
    fun detach(
        link: LinkId,
        now: Duration,
    ) {
        val session = sessionsByLink.remove(link) ?: return
        listener.creditsLost(session)
        session.link = null
        session.disconnectedAt = now
        val unsent = session.outbox.dispatches.toList()
        session.outbox.clear()
        unsent.forEach {
            session.unresolvedAttempts.remove(it.key)
            listener.neverSent(it)
        }
    }

    /** Drops the agents that did not reconnect in time and reports the outcomes of their attempts as lost. */
    fun expire(now: Duration) {
        val expired = sessions.values.filter { it.link == null && now - it.disconnectedAt > RECONNECT_TIMEOUT }
        expired.forEach {
            sessions.remove(it.agent)
            abandonAttempts(it)
        }
    }

    private fun abandonAttempts(session: AgentSession) {
        val abandoned = session.unresolvedAttempts.values.toList()
        session.unresolvedAttempts.clear()
        abandoned.forEach(listener::outcomeLost)
    }

    /** Answers the last permit request of each agent again, so that a new revision reaches the agents before their next request. */
    fun renewPermits() =
        sessionsByLink.values.filter { it.lastPermitRequest != null }.forEach {
            it.outbox.permitRequest = it.lastPermitRequest
            requestFlush(it)
        }

    /** Requests that pending data for [session] is sent. */
    fun requestFlush(session: AgentSession) {
        session.link?.let { actions += Action.Flush(it) }
    }

    /** Requests sending to the agents of [service] that were last told that there is no demand. */
    fun flushLinksWithoutDemand(service: ServiceId) =
        sessionsByLink.values
            .filter {
                it.service == service && (it.lastSentDemand?.tasks ?: 0) + (it.lastSentDemand?.requests ?: 0) == 0
            }.forEach(::requestFlush)

    /** Requests sending to the agents whose last frame had outdated demand or an outdated count of received outcomes. */
    fun flushOutdatedLinks() {
        val demands = HashMap<ServiceId, Demand>()
        sessionsByLink.values.forEach { session ->
            val latest = session.service?.let { demands.getOrPut(it) { demand(it) } }
            if (session.receivedCount != session.acknowledgedCount || (latest != null && isOutdated(session, latest))) requestFlush(session)
        }
    }

    private fun isOutdated(
        session: AgentSession,
        latest: Demand,
    ): Boolean {
        val sent = session.lastSentDemand
        return demandChangeFilter.isSignificant(sent?.queueDemand(), latest.queueDemand()) ||
            ((sent?.requests ?: 0) == 0) != (latest.requests == 0)
    }

    private fun Demand.queueDemand() = QueueDemand(tasks = tasks, tasksLeft = tasksLeft)

    fun acknowledge(
        session: AgentSession,
        revision: Revision,
    ) = permits.acknowledge(session.incarnation, revision)

    /** Returns everything pending for [link] as one frame, or null if nothing is pending. */
    fun takeFrame(
        link: LinkId,
        now: Duration,
    ): EntryFrame? {
        val session = sessionsByLink[link] ?: return null
        val newDemand = session.service?.let(demand)?.takeIf { it != session.lastSentDemand }
        val outbox = session.outbox
        if (outbox.isEmpty && newDemand == null && session.receivedCount == session.acknowledgedCount) return null
        val frame =
            EntryFrame(
                hello = outbox.hello,
                permit = issuePermit(session, now),
                demand = newDemand,
                returned = outbox.takeReturnedCredits(),
                dispatches = outbox.dispatches.map { it.toDispatch(now) },
                cancels = outbox.cancels.toList(),
                inquiries = outbox.inquiries.toList(),
                received = session.receivedCount.takeIf { it != session.acknowledgedCount },
            )
        outbox.clear()
        session.acknowledgedCount = session.receivedCount
        if (newDemand != null) session.lastSentDemand = newDemand
        return frame.takeIf { it != EntryFrame() }
    }

    private fun issuePermit(
        session: AgentSession,
        now: Duration,
    ): Permit? {
        val request = session.outbox.permitRequest ?: return null
        val target = session.target
        val validMillis = lease.remaining(now).inWholeMilliseconds
        if (!lease.isLive(now) || validMillis <= 0 || request.revision > lease.revision) return null
        val service = session.service?.let(lease::service)
        permits.add(session.incarnation, lease.revision, end = now + lease.remaining(now))
        return Permit(
            sequence = request.sequence,
            revision = lease.revision,
            validMillis = validMillis,
            inService = lease.isInService(session.zone, target?.target),
            slots = service?.slots ?: 0,
            connections = service?.connections ?: 0,
            taskMillis = service?.taskMillis ?: 0,
            entries = lease.peers.filter { it.site == identity.site }.map { it.address },
        )
    }

    private fun Attempt.toDispatch(now: Duration): Dispatch {
        isSent = true
        return Dispatch(
            submission = submission.id,
            task = task,
            attempt = number,
            incarnation = session.incarnation,
            kind = submission.spec.kind,
            payload = submission.spec.tasks[task].payload,
            remainingMillis = maxOf(0, (submission.deadline - now).inWholeMilliseconds),
            idempotent = submission.spec.idempotent,
        )
    }

    private companion object {
        /** How long an agent may take to reconnect before the outcomes of its attempts count as lost. */
        val RECONNECT_TIMEOUT = 5.seconds
    }
}
