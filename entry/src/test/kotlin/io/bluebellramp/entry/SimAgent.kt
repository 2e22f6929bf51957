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

/** A simulated connection. It keeps the order of frames in each direction and loses those in flight when it is cut. */
internal class SimLink(
    private val world: SimWorld,
    val entry: SimEntry,
    private val agent: SimAgent,
    val id: LinkId,
) {
    var isCut = false
    private var lastArrivalAtAgent = Duration.ZERO
    private var lastArrivalAtEntry = Duration.ZERO
    var unspentCredits = 0
    var unreportedOutcomes = HashMap<TaskReference, TaskOutcome>()

    fun sendToAgent(frame: EntryFrame) {
        lastArrivalAtAgent = maxOf(lastArrivalAtAgent, world.now + world.networkDelay())
        world.schedule(lastArrivalAtAgent - world.now) { if (!isCut) agent.onFrame(this, frame) }
    }

    fun sendToEntry(frame: AgentFrame) {
        lastArrivalAtEntry = maxOf(lastArrivalAtEntry, world.now + world.networkDelay())
        world.schedule(lastArrivalAtEntry - world.now) { if (!isCut) entry.step { onFrame(this@SimLink.id, frame, it) } }
    }

    /** Cuts the connection. Each side notices at its own time. */
    fun cut() {
        if (isCut) return
        isCut = true
        world.schedule(world.networkDelay()) {
            entry.links.remove(id)
            entry.step { onDisconnected(id, it) }
        }
        agent.onDisconnected(this)
    }
}

/** One incarnation of a simulated agent with a start ledger, a permit, slots and a target that fails at random. */
internal class SimAgent(
    private val world: SimWorld,
    private val index: Int,
    generation: Int,
) {
    private class Permit(
        val entry: IncarnationId,
        val revision: Revision,
        val end: Duration,
        val inService: Boolean,
    )

    private class LedgerEntry(
        var attempt: Int,
        var mayHaveStarted: Boolean,
    )

    private val incarnation = IncarnationId("a$index-$generation")
    private val zone = ZoneId("z${index % 2}")
    private val failureProbability = if (world.chance(0.3)) world.random.nextDouble(0.0, 0.5) else 0.0
    private val links = ArrayList<SimLink>()
    private val ledger = HashMap<Pair<SubmissionId, Int>, LedgerEntry>()
    private val running = HashMap<TaskReference, IncarnationId>()
    private val outcomes = HashMap<TaskReference, TaskOutcome>()
    private val permitRequestedAt = HashMap<Long, Duration>()
    private var permit: Permit? = null
    private var sequence = 0L
    private var freeSlots = SLOTS
    var isAlive = true

    fun start() = world.entries.forEach { if (it.isAlive) connect(it) }

    /** Returns the revision of the permit that is valid at this agent if [entry] issued it, else nothing. */
    fun livePermitRevisions(entry: IncarnationId) = listOfNotNull(permit?.takeIf { it.entry == entry && it.end > world.now }?.revision)

    fun connect(entry: SimEntry) {
        if (!isAlive || !entry.isAlive) return
        val link = SimLink(world, entry, this, LinkId(world.random.nextLong()))
        links += link
        entry.links[link.id] = link
        link.sendToEntry(
            AgentFrame(
                hello = AgentHello(AgentId("a$index"), incarnation, SiteId("vestland"), zone),
                target = TargetState(TargetId("t$index"), SimControl.SERVICE, present = true),
            ),
        )
        requestPermit(link)
    }

    private fun requestPermit(link: SimLink) {
        if (!isAlive || link.isCut) return
        sequence++
        permitRequestedAt[sequence] = world.now
        link.sendToEntry(AgentFrame(permitRequest = PermitRequest(sequence, permit?.revision ?: Revision.ZERO)))
        grantCredits()
        world.schedule(400.milliseconds) { requestPermit(link) }
    }

    private fun grantCredits() {
        val openLinks = links.filter { !it.isCut }
        while (freeSlots > 0 && openLinks.isNotEmpty()) {
            val link = openLinks.random(world.random)
            freeSlots--
            link.unspentCredits++
            link.sendToEntry(AgentFrame(credits = Credits(slots = 1)))
        }
        openLinks.forEach { if (world.chance(0.1)) it.sendToEntry(AgentFrame(credits = Credits(connections = 1))) }
        openLinks.firstOrNull { it.unspentCredits > 0 && world.chance(0.3) }?.sendToEntry(AgentFrame(recalled = Credits(slots = 1)))
    }

    fun kill() {
        isAlive = false
        links.toList().forEach { it.cut() }
    }

    fun cutRandomLink() = links.randomOrNull(world.random)?.cut()

    fun onDisconnected(link: SimLink) {
        links -= link
        freeSlots += link.unspentCredits
        link.unspentCredits = 0
        val pause = if (world.chance(0.1)) world.randomMillis(4_500, 7_000) else world.randomMillis(10, 800)
        world.schedule(pause) { connect(world.entries.last { it.identity.entry == link.entry.identity.entry }) }
    }

    fun onFrame(
        link: SimLink,
        frame: EntryFrame,
    ) {
        if (!isAlive) return
        frame.permit?.let { acceptPermit(link, it) }
        frame.returned?.let {
            link.unspentCredits -= it.slots
            freeSlots += it.slots
        }
        frame.cancels.forEach { if (it !in running) answerInquiry(link, it) }
        frame.inquiries.forEach { answerInquiry(link, it) }
        frame.dispatches.forEach { dispatch(link, it) }
        grantCredits()
    }

    private fun acceptPermit(
        link: SimLink,
        granted: io.bluebellramp.messages.Permit,
    ) {
        if (granted.revision < (permit?.revision ?: Revision.ZERO)) return
        val end = permitRequestedAt.getValue(granted.sequence) + granted.validMillis.milliseconds
        permit = Permit(link.entry.identity.incarnation, granted.revision, end, granted.inService)
    }

    private fun answerInquiry(
        link: SimLink,
        reference: TaskReference,
    ) {
        val key = reference.submission to reference.task
        val known = ledger[key]
        when {
            reference in running -> {
                reply(link, reference, TaskStatus.RUNNING)
            }

            outcomes[reference] != null -> {
                link.sendToEntry(AgentFrame(outcomes = listOf(outcomes.getValue(reference))))
            }

            known == null || known.attempt < reference.attempt -> {
                ledger[key] = LedgerEntry(reference.attempt, known?.mayHaveStarted ?: false)
                reply(link, reference, TaskStatus.NOT_RUN)
            }

            else -> {
                reply(link, reference, if (known.mayHaveStarted) TaskStatus.UNKNOWN else TaskStatus.NOT_RUN)
            }
        }
    }

    private fun reply(
        link: SimLink,
        reference: TaskReference,
        status: TaskStatus,
    ) = link.sendToEntry(AgentFrame(outcomes = listOf(TaskOutcome(reference.submission, reference.task, reference.attempt, status))))

    private fun dispatch(
        link: SimLink,
        dispatch: Dispatch,
    ) {
        val reference = TaskReference(dispatch.submission, dispatch.task, dispatch.attempt)
        val key = dispatch.submission to dispatch.task
        val known = ledger[key]
        if (dispatch.kind == DispatchKind.TASK) link.unspentCredits--
        val repeated = known != null && (dispatch.attempt <= known.attempt || (known.mayHaveStarted && !dispatch.idempotent))
        val hasPermit = permit?.let { it.inService && it.end > world.now } == true
        if (dispatch.incarnation != incarnation || repeated) {
            if (dispatch.kind == DispatchKind.TASK) freeSlots++
            return answerInquiry(link, reference)
        }
        if (!hasPermit || world.chance(0.02)) {
            if (dispatch.kind == DispatchKind.TASK) freeSlots++
            ledger[key] = LedgerEntry(dispatch.attempt, known?.mayHaveStarted ?: false)
            return reply(link, reference, TaskStatus.NOT_RUN)
        }
        ledger[key] = LedgerEntry(dispatch.attempt, mayHaveStarted = true)
        running[reference] = link.entry.identity.incarnation
        world.recordStart(dispatch.submission, dispatch.task, link.entry.identity.incarnation.value)
        world.schedule(world.randomMillis(5, 300)) { finish(reference, dispatch) }
    }

    private fun finish(
        reference: TaskReference,
        dispatch: Dispatch,
    ) {
        val owner = running.remove(reference)
        if (!isAlive) return
        if (dispatch.kind == DispatchKind.TASK) freeSlots++
        val isDone = !world.chance(failureProbability)
        if (isDone) world.finishedTasks.getOrPut(dispatch.submission) { HashSet() } += dispatch.task
        val status = if (isDone) TaskStatus.DONE else TaskStatus.ERROR
        val result = "${dispatch.submission}/${dispatch.payload}"
        val outcome = TaskOutcome(dispatch.submission, dispatch.task, dispatch.attempt, status, result = result, ranMicros = 1_000)
        outcomes[reference] = outcome
        val link = links.lastOrNull { it.entry.identity.incarnation == owner && !it.isCut }
        link?.sendToEntry(AgentFrame(outcomes = listOf(outcome)))
        if (world.chance(0.05)) link?.sendToEntry(AgentFrame(outcomes = listOf(outcome)))
        if (world.chance(0.02)) links.randomOrNull(world.random)?.sendToEntry(AgentFrame(outcomes = listOf(outcome)))
        grantCredits()
    }

    private companion object {
        const val SLOTS = 2
    }
}
