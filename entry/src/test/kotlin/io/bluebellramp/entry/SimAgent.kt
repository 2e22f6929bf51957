package io.bluebellramp.entry

import io.bluebellramp.core.AgentId
import io.bluebellramp.core.IncarnationId
import io.bluebellramp.core.Revision
import io.bluebellramp.core.SiteId
import io.bluebellramp.core.SubmissionId
import io.bluebellramp.core.TargetId
import io.bluebellramp.core.ZoneId
import io.bluebellramp.messages.AgentFrame
import io.bluebellramp.messages.AgentHello
import io.bluebellramp.messages.Credits
import io.bluebellramp.messages.Dispatch
import io.bluebellramp.messages.DispatchKind
import io.bluebellramp.messages.EntryFrame
import io.bluebellramp.messages.PermitRequest
import io.bluebellramp.messages.TargetState
import io.bluebellramp.messages.TaskOutcome
import io.bluebellramp.messages.TaskReference
import io.bluebellramp.messages.TaskStatus
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** A connection that keeps the order of frames in each direction and loses those in flight when it is cut. */
internal class SimLink(
    private val world: SimWorld,
    val entry: SimEntry,
    private val agent: SimAgent,
    val id: LinkId,
) {
    var isCut = false
    private var toAgentAt = Duration.ZERO
    private var toEntryAt = Duration.ZERO
    var unspent = 0
    var owed = HashMap<TaskReference, TaskOutcome>()

    fun toAgent(frame: EntryFrame) {
        toAgentAt = maxOf(toAgentAt, world.now + world.hop())
        world.at(toAgentAt - world.now) { if (!isCut) agent.received(this, frame) }
    }

    fun toEntry(frame: AgentFrame) {
        toEntryAt = maxOf(toEntryAt, world.now + world.hop())
        world.at(toEntryAt - world.now) { if (!isCut) entry.step { frame(this@SimLink.id, frame, it) } }
    }

    /** Cuts the connection. Each side notices at its own time. */
    fun cut() {
        if (isCut) return
        isCut = true
        world.at(world.hop()) {
            entry.links.remove(id)
            entry.step { closed(id, it) }
        }
        agent.lost(this)
    }
}

/** One run of an agent with a start ledger, a permit, slots and a target that now and then fails. */
internal class SimAgent(
    private val world: SimWorld,
    private val index: Int,
    run: Int,
) {
    private class Permit(
        val entry: IncarnationId,
        val revision: Revision,
        val end: Duration,
        val inService: Boolean,
    )

    private class Record(
        var attempt: Int,
        var mayHaveStarted: Boolean,
    )

    private val incarnation = IncarnationId("a$index-$run")
    private val zone = ZoneId("z${index % 2}")
    private val failure = if (world.chance(0.3)) world.random.nextDouble(0.0, 0.5) else 0.0
    private val links = ArrayList<SimLink>()
    private val ledger = HashMap<Pair<SubmissionId, Int>, Record>()
    private val running = HashMap<TaskReference, IncarnationId>()
    private val outcomes = HashMap<TaskReference, TaskOutcome>()
    private val sentAt = HashMap<Long, Duration>()
    private var permit: Permit? = null
    private var sequence = 0L
    private var free = SLOTS
    var isAlive = true

    fun start() = world.entries.forEach { if (it.isAlive) connect(it) }

    /** Revisions of the permit that is alive here, if it came from [entry]. */
    fun alivePermits(entry: IncarnationId) = listOfNotNull(permit?.takeIf { it.entry == entry && it.end > world.now }?.revision)

    fun connect(entry: SimEntry) {
        if (!isAlive || !entry.isAlive) return
        val link = SimLink(world, entry, this, LinkId(world.random.nextLong()))
        links += link
        entry.links[link.id] = link
        link.toEntry(
            AgentFrame(
                hello = AgentHello(AgentId("a$index"), incarnation, SiteId("vestland"), zone),
                target = TargetState(TargetId("t$index"), SimControl.SERVICE, present = true),
            ),
        )
        renew(link)
    }

    private fun renew(link: SimLink) {
        if (!isAlive || link.isCut) return
        sequence++
        sentAt[sequence] = world.now
        link.toEntry(AgentFrame(permitRequest = PermitRequest(sequence, permit?.revision ?: Revision.ZERO)))
        grant()
        world.at(400.milliseconds) { renew(link) }
    }

    private fun grant() {
        val wanting = links.filter { !it.isCut }
        while (free > 0 && wanting.isNotEmpty()) {
            val link = wanting.random(world.random)
            free--
            link.unspent++
            link.toEntry(AgentFrame(credits = Credits(slots = 1)))
        }
        wanting.forEach { if (world.chance(0.1)) it.toEntry(AgentFrame(credits = Credits(connections = 1))) }
        wanting.firstOrNull { it.unspent > 0 && world.chance(0.3) }?.toEntry(AgentFrame(recalled = Credits(slots = 1)))
    }

    fun kill() {
        isAlive = false
        links.toList().forEach { it.cut() }
    }

    fun cutOne() = links.randomOrNull(world.random)?.cut()

    fun lost(link: SimLink) {
        links -= link
        free += link.unspent
        link.unspent = 0
        val pause = if (world.chance(0.1)) world.millis(4_500, 7_000) else world.millis(10, 800)
        world.at(pause) { connect(world.entries.last { it.identity.entry == link.entry.identity.entry }) }
    }

    fun received(
        link: SimLink,
        frame: EntryFrame,
    ) {
        if (!isAlive) return
        frame.permit?.let { accept(link, it) }
        frame.returned?.let {
            link.unspent -= it.slots
            free += it.slots
        }
        frame.cancels.forEach { if (it !in running) inquire(link, it) }
        frame.inquiries.forEach { inquire(link, it) }
        frame.dispatches.forEach { dispatch(link, it) }
        grant()
    }

    private fun accept(
        link: SimLink,
        granted: io.bluebellramp.messages.Permit,
    ) {
        if (granted.revision < (permit?.revision ?: Revision.ZERO)) return
        val end = sentAt.getValue(granted.sequence) + granted.validMillis.milliseconds
        permit = Permit(link.entry.identity.incarnation, granted.revision, end, granted.inService)
    }

    private fun inquire(
        link: SimLink,
        reference: TaskReference,
    ) {
        val key = reference.submission to reference.task
        val record = ledger[key]
        when {
            reference in running -> {
                reply(link, reference, TaskStatus.RUNNING)
            }

            outcomes[reference] != null -> {
                link.toEntry(AgentFrame(outcomes = listOf(outcomes.getValue(reference))))
            }

            record == null || record.attempt < reference.attempt -> {
                ledger[key] = Record(reference.attempt, record?.mayHaveStarted ?: false)
                reply(link, reference, TaskStatus.NOT_RUN)
            }

            else -> {
                reply(link, reference, if (record.mayHaveStarted) TaskStatus.UNKNOWN else TaskStatus.NOT_RUN)
            }
        }
    }

    private fun reply(
        link: SimLink,
        reference: TaskReference,
        status: TaskStatus,
    ) = link.toEntry(AgentFrame(outcomes = listOf(TaskOutcome(reference.submission, reference.task, reference.attempt, status))))

    private fun dispatch(
        link: SimLink,
        dispatch: Dispatch,
    ) {
        val reference = TaskReference(dispatch.submission, dispatch.task, dispatch.attempt)
        val key = dispatch.submission to dispatch.task
        val record = ledger[key]
        if (dispatch.kind == DispatchKind.TASK) link.unspent--
        val repeated = record != null && (dispatch.attempt <= record.attempt || (record.mayHaveStarted && !dispatch.idempotent))
        val hasPermit = permit?.let { it.inService && it.end > world.now } == true
        if (dispatch.incarnation != incarnation || repeated) {
            if (dispatch.kind == DispatchKind.TASK) free++
            return inquire(link, reference)
        }
        if (!hasPermit || world.chance(0.02)) {
            if (dispatch.kind == DispatchKind.TASK) free++
            ledger[key] = Record(dispatch.attempt, record?.mayHaveStarted ?: false)
            return reply(link, reference, TaskStatus.NOT_RUN)
        }
        ledger[key] = Record(dispatch.attempt, mayHaveStarted = true)
        running[reference] = link.entry.identity.incarnation
        world.started(dispatch.submission, dispatch.task, link.entry.identity.incarnation.value)
        world.at(world.millis(5, 300)) { end(reference, dispatch) }
    }

    private fun end(
        reference: TaskReference,
        dispatch: Dispatch,
    ) {
        val owner = running.remove(reference)
        if (!isAlive) return
        if (dispatch.kind == DispatchKind.TASK) free++
        val isDone = !world.chance(failure)
        if (isDone) world.finished.getOrPut(dispatch.submission) { HashSet() } += dispatch.task
        val status = if (isDone) TaskStatus.DONE else TaskStatus.ERROR
        val result = "${dispatch.submission}/${dispatch.payload}"
        val outcome = TaskOutcome(dispatch.submission, dispatch.task, dispatch.attempt, status, result = result, ranMicros = 1_000)
        outcomes[reference] = outcome
        val link = links.lastOrNull { it.entry.identity.incarnation == owner && !it.isCut }
        link?.toEntry(AgentFrame(outcomes = listOf(outcome)))
        if (world.chance(0.05)) link?.toEntry(AgentFrame(outcomes = listOf(outcome)))
        if (world.chance(0.02)) links.randomOrNull(world.random)?.toEntry(AgentFrame(outcomes = listOf(outcome)))
        grant()
    }

    private companion object {
        const val SLOTS = 2
    }
}
