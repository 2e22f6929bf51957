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
import io.bluebellramp.placement.DemandNews
import io.bluebellramp.placement.QueueDemand
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Hears what becomes of connections and of the attempts that depended on them. */
internal interface AgentListener {
    /** The credits of [session] are void. */
    fun creditsLost(session: AgentSession)

    /** [attempt] never left this process. */
    fun neverSent(attempt: Attempt)

    /** Whether [attempt] started will not be known. */
    fun outcomeLost(attempt: Attempt)
}

/** The agents that are or were connected, and what is to be sent to each. No I/O. */
internal class AgentDirectory(
    private val identity: EntryIdentity,
    private val lease: LeaseKeeper,
    private val sink: ActionSink,
) {
    private val sessions = HashMap<AgentId, AgentSession>()
    private val byLink = HashMap<LinkId, AgentSession>()
    private val permits = PermitHistory()
    private val demandNews = DemandNews()
    lateinit var listener: AgentListener

    /** Tells what waits for a service. */
    lateinit var demand: (ServiceId) -> Demand

    /** Agents that are connected. */
    val connected: Collection<AgentSession> get() = byLink.values

    fun session(link: LinkId): AgentSession? = byLink[link]

    /** The connected agent of [target], or null. */
    fun byTarget(target: TargetId): AgentSession? = byLink.values.firstOrNull { it.target?.target == target && it.takesWork }

    /** The lowest revision of any permit that was passed on and may be alive. */
    fun oldestPermit(now: Duration): Revision = permits.oldest(lease.revision, now)

    /** Takes the first frame of a connection. */
    fun attach(
        link: LinkId,
        hello: AgentHello,
        now: Duration,
    ) {
        if (hello.site != identity.site) {
            sink += Action.Close(link)
            return
        }
        val known = sessions[hello.agent]
        known?.link?.let {
            detach(it, now)
            sink += Action.Close(it)
        }
        if (known != null && known.incarnation != hello.incarnation) lose(known)
        val session = if (known?.incarnation == hello.incarnation) known else AgentSession(hello)
        sessions[hello.agent] = session
        byLink[link] = session
        session.attach(link)
        session.outbox.hello = EntryHello(entry = identity.entry, incarnation = identity.incarnation)
        session.unresolved.values.forEach { session.outbox.inquiries += it.reference }
        wake(session)
    }

    /** Notes that a connection is gone. */
    fun detach(
        link: LinkId,
        now: Duration,
    ) {
        val session = byLink.remove(link) ?: return
        listener.creditsLost(session)
        session.link = null
        session.closedAt = now
        val unsent = session.outbox.dispatches.toList()
        session.outbox.clear()
        unsent.forEach {
            session.unresolved.remove(it.key)
            listener.neverSent(it)
        }
    }

    /** Gives up on agents that stayed away. */
    fun expire(now: Duration) {
        val away = sessions.values.filter { it.link == null && now - it.closedAt > RECONNECT_WAIT }
        away.forEach {
            sessions.remove(it.agent)
            lose(it)
        }
    }

    private fun lose(session: AgentSession) {
        val lost = session.unresolved.values.toList()
        session.unresolved.clear()
        lost.forEach(listener::outcomeLost)
    }

    /** Answers the last permit request of each agent again, so that a new revision does not wait for the next request. */
    fun renewPermits() =
        byLink.values.filter { it.lastRequest != null }.forEach {
            it.outbox.permitRequest = it.lastRequest
            wake(it)
        }

    /** Marks the link of [session] for sending. */
    fun wake(session: AgentSession) {
        session.link?.let { sink += Action.Wake(it) }
    }

    /** Marks the links of [service] that know of no demand. */
    fun wakeIdle(service: ServiceId) =
        byLink.values.filter { it.service == service && (it.demandSent?.tasks ?: 0) + (it.demandSent?.requests ?: 0) == 0 }.forEach(::wake)

    /** Marks the links to which demand or a count of outcomes has not been sent yet. */
    fun wakeForNews() {
        val demands = HashMap<ServiceId, Demand>()
        byLink.values.forEach { session ->
            val now = session.service?.let { demands.getOrPut(it) { demand(it) } }
            if (session.received != session.receivedSent || (now != null && isNews(session, now))) wake(session)
        }
    }

    private fun isNews(
        session: AgentSession,
        now: Demand,
    ): Boolean {
        val sent = session.demandSent
        return demandNews.isNews(sent?.queueDemand(), now.queueDemand()) || ((sent?.requests ?: 0) == 0) != (now.requests == 0)
    }

    private fun Demand.queueDemand() = QueueDemand(tasks = tasks, tasksLeft = tasksLeft)

    fun acknowledge(
        session: AgentSession,
        revision: Revision,
    ) = permits.acknowledge(session.incarnation, revision)

    /** Returns all that waits for the link as one frame, or null if nothing does. */
    fun drain(
        link: LinkId,
        now: Duration,
    ): EntryFrame? {
        val session = byLink[link] ?: return null
        val news = session.service?.let(demand)?.takeIf { it != session.demandSent }
        val box = session.outbox
        if (box.isEmpty && news == null && session.received == session.receivedSent) return null
        val frame =
            EntryFrame(
                hello = box.hello,
                permit = permit(session, now),
                demand = news,
                returned = box.takeCredits(),
                dispatches = box.dispatches.map { it.dispatch(now) },
                cancels = box.cancels.toList(),
                inquiries = box.inquiries.toList(),
                received = session.received.takeIf { it != session.receivedSent },
            )
        box.clear()
        session.receivedSent = session.received
        if (news != null) session.demandSent = news
        return frame.takeIf { it != EntryFrame() }
    }

    private fun permit(
        session: AgentSession,
        now: Duration,
    ): Permit? {
        val request = session.outbox.permitRequest ?: return null
        val target = session.target
        val valid = lease.remaining(now).inWholeMilliseconds
        if (!lease.isLive(now) || valid <= 0 || request.revision > lease.revision) return null
        val service = session.service?.let(lease::service)
        permits.add(session.incarnation, lease.revision, end = now + lease.remaining(now))
        return Permit(
            sequence = request.sequence,
            revision = lease.revision,
            validMillis = valid,
            inService = lease.isInService(session.zone, target?.target),
            slots = service?.slots ?: 0,
            connections = service?.connections ?: 0,
            taskMillis = service?.taskMillis ?: 0,
            entries = lease.peers.filter { it.site == identity.site }.map { it.address },
        )
    }

    private fun Attempt.dispatch(now: Duration): Dispatch {
        isSent = true
        return Dispatch(
            submission = submission.id,
            task = task,
            attempt = number,
            incarnation = session.incarnation,
            kind = submission.new.kind,
            payload = submission.new.tasks[task].payload,
            remainingMillis = maxOf(0, (submission.deadline - now).inWholeMilliseconds),
            idempotent = submission.new.idempotent,
        )
    }

    private companion object {
        /** How long the outcomes of an agent are waited for after its connection broke. */
        val RECONNECT_WAIT = 5.seconds
    }
}
