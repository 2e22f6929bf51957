package io.bluebellramp.agent

import io.bluebellramp.core.Address
import io.bluebellramp.core.AgentId
import io.bluebellramp.core.IncarnationId
import io.bluebellramp.core.Revision
import io.bluebellramp.core.ServiceId
import io.bluebellramp.core.SiteId
import io.bluebellramp.core.SubmissionId
import io.bluebellramp.core.TargetId
import io.bluebellramp.core.ZoneId
import io.bluebellramp.messages.AgentFrame
import io.bluebellramp.messages.AgentHello
import io.bluebellramp.messages.Dispatch
import io.bluebellramp.messages.DispatchKind
import io.bluebellramp.messages.EntryFrame
import io.bluebellramp.messages.Permit
import io.bluebellramp.messages.TargetAnnouncement
import io.bluebellramp.messages.TaskReference
import io.bluebellramp.placement.DemandGrantPolicy
import io.bluebellramp.placement.Placement
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

/** Runs an agent between simulated entries and a simulated target, first with faults and then without, from one seed. */
internal class AgentSimulation(
    seed: Long,
) {
    private class Link(
        val id: ConnectionId,
        val entry: SimulatedEntry,
        val agentRun: Int,
    ) {
        var isOpen = true
        var toAgentAt = Duration.ZERO
        var toEntryAt = Duration.ZERO
    }

    private val random = Random(seed)
    private val clock = ManualClock(onRead = { if (chaos && inStep && random.nextInt(4000) == 0) now += 3.seconds })
    private val loop = EventLoop(clock)
    private val entries = List(3) { SimulatedEntry("e$it", random).also(SimulatedEntry::restart) }
    private val links = LinkedHashMap<SimulatedEntry, Link>()
    private val sent = ArrayList<Dispatch>()
    private val requested = HashMap<Long, Duration>()
    private val announcement = TargetAnnouncement(TargetId("t1"), ServiceId("render"), Address("127.0.0.1:1"))
    private var announcedAt: Duration? = null
    private var targetUp = true
    private var chaos = true
    private var inStep = false
    private var connectionIds = 0L
    private var agentRun = 0
    private var frozenUntil = Duration.ZERO
    private var revision = 1L
    private var incarnation = IncarnationId("a.0")
    private lateinit var core: AgentCore
    val history = StartHistory()

    fun run(): StartHistory {
        restartAgent()
        loop.every(20.milliseconds) { entries.forEach { work(it) } }
        loop.every(50.milliseconds) { step(AgentInput.Tick) }
        loop.every(300.milliseconds) { announce() }
        loop.every(120.milliseconds) { if (chaos) fault() }
        loop.every(60.milliseconds) { if (chaos) entries.forEach { arrive(it) } }
        loop.runUntil(CHAOS)
        calm()
        loop.runUntil(clock.now + CALM)
        checkEnd()
        return history
    }

    private fun fault() {
        when (random.nextInt(60)) {
            0 -> {
                restartAgent()
            }

            1 -> {
                entries.random(random).let { entry ->
                    links[entry]?.let { close(it) }
                    entry.restart()
                }
            }

            2 -> {
                frozenUntil = clock.now + random.nextLong(4000).milliseconds
            }

            3 -> {
                targetUp = !targetUp
            }

            4 -> {
                step(AgentInput.TargetLeft)
            }

            5, 6, 7 -> {
                revision++
            }

            in 8..13 -> {
                links.values.randomOrNull(random)?.let { close(it) }
            }

            in 14..20 -> {
                replay()
            }
        }
    }

    private fun calm() {
        chaos = false
        targetUp = true
        frozenUntil = Duration.ZERO
        while (!inService(revision) || revision % 4 < 2) revision++
        entries.forEach { it.chaos = false }
    }

    private fun checkEnd() {
        for (entry in entries) {
            val due = entry.due(incarnation)
            if (due.isNotEmpty()) history.breach(clock.now, "no outcome", due)
            if (entry.waiting.isNotEmpty()) history.breach(clock.now, "no credit", entry.waiting)
        }
        val view = core.view()
        if (view.tasksRunning + view.tasksQueued + view.requestsRunning != 0) history.breach(clock.now, "slots leaked", view)
    }

    private fun arrive(entry: SimulatedEntry) {
        if (entry.waiting.size > 8) return
        val age = if (random.nextInt(20) == 0) listOf(11.minutes, (-2).minutes).random(random) else Duration.ZERO
        val made = clock.wall().minusMillis(age.inWholeMilliseconds)
        val submission = SubmissionId.create(made, random.nextLong(), random.nextLong())
        val kind = if (random.nextInt(4) == 0) DispatchKind.REQUEST else DispatchKind.TASK
        val idempotent = random.nextInt(4) == 0
        repeat(random.nextInt(1, 4)) { task ->
            history.created(submission.value, task, idempotent)
            entry.waiting += WaitingTask(submission, task, attempt = 0, kind = kind, idempotent = idempotent).bounded(age)
        }
    }

    private fun WaitingTask.bounded(age: Duration) = if (age == Duration.ZERO) this else copy(attempt = 400)

    private fun work(entry: SimulatedEntry) {
        val link = links[entry]
        if (link == null) open(entry) else toAgent(link, entry.work())
    }

    private fun open(entry: SimulatedEntry) {
        if (clock.now < frozenUntil || random.nextInt(4) != 0) return
        val link = Link(ConnectionId(++connectionIds), entry, agentRun)
        links[entry] = link
        step(AgentInput.ConnectionOpened(link.id))
        toAgent(link, entry.connected())
    }

    private fun close(link: Link) {
        if (!link.isOpen) return
        link.isOpen = false
        links.remove(link.entry)
        link.entry.disconnected()
        at(clock.now + delay()) { if (link.agentRun == agentRun) step(AgentInput.ConnectionClosed(link.id)) }
    }

    private fun toAgent(
        link: Link,
        frame: EntryFrame,
    ) {
        sent += frame.dispatches
        link.toAgentAt = maxOf(link.toAgentAt, clock.now + delay())
        val copies = if (chaos && random.nextInt(50) == 0) 2 else 1
        at(link.toAgentAt) { repeat(copies) { deliver(link, frame) } }
    }

    private fun deliver(
        link: Link,
        frame: EntryFrame,
    ) {
        if (!link.isOpen || link.agentRun != agentRun) return
        if (clock.now < frozenUntil) return at(frozenUntil) { deliver(link, frame) }
        frame.permit?.let { history.permitted(it, requested.getValue(it.sequence)) }
        step(AgentInput.FrameReceived(link.id, frame))
    }

    private fun replay() {
        val dispatch = sent.randomOrNull(random) ?: return
        links.values.randomOrNull(random)?.let { toAgent(it, EntryFrame(dispatches = listOf(dispatch))) }
    }

    private fun step(input: AgentInput) {
        if (clock.now < frozenUntil) return at(frozenUntil, run = agentRun.let { run -> { if (run == agentRun) step(input) } })
        if (input is AgentInput.TargetLeft) announcedAt = null
        inStep = true
        val actions = core.step(input)
        inStep = false
        actions.forEach(::perform)
    }

    private fun perform(action: AgentAction) {
        when (action) {
            is AgentAction.Send -> links.values.firstOrNull { it.id == action.connection }?.let { toEntry(it, action.frame) }
            is AgentAction.Start -> start(action)
            is AgentAction.Decided -> Unit
            is AgentAction.Dropped -> Unit
        }
    }

    private fun toEntry(
        link: Link,
        frame: AgentFrame,
    ) {
        frame.permitRequest?.let { requested[it.sequence] = clock.now }
        frame.outcomes.forEach { history.said(it, incarnation, clock.now) }
        link.toEntryAt = maxOf(link.toEntryAt, clock.now + delay())
        at(link.toEntryAt) {
            if (!link.isOpen) return@at
            val answer = link.entry.received(frame)
            val permit = frame.permitRequest?.takeUnless { chaos && random.nextInt(5) == 0 }?.let { permit(it.sequence) }
            toAgent(link, answer.copy(permit = permit))
        }
    }

    private fun permit(sequence: Long): Permit {
        val seen = if (chaos) (revision - random.nextLong(3)).coerceAtLeast(1) else revision
        return Permit(
            sequence = sequence,
            revision = Revision(seen),
            validMillis = if (chaos) random.nextLong(1500) else 2000,
            inService = inService(seen),
            slots = 1 + (seen % 4).toInt(),
            connections = 3 + (seen % 3).toInt(),
            taskMillis = 5000,
            entries = emptyList(),
        )
    }

    private fun inService(revision: Long) = revision % 3 != 0L

    private fun start(action: AgentAction.Start) {
        val call = action.call
        val reference = TaskReference(call.submission, call.task, call.attempt)
        val run = agentRun
        val refused = clock.now >= action.before || random.nextInt(40) == 0
        if (!refused) history.started(action, clock.now, hasTarget())
        val result =
            when {
                refused -> CallResult.NotSent("refused")
                random.nextInt(20) == 0 -> CallResult.Unknown("cut")
                random.nextInt(20) == 0 -> CallResult.Failed("status 500")
                else -> CallResult.Done(reference.toString())
            }
        val ran = random.nextLong(1, 400).milliseconds
        val ended = AgentInput.CallEnded(reference, result, ran)
        at(clock.now + ran) {
            if (run != agentRun) return@at
            history.ended(reference)
            step(ended)
            if (random.nextInt(20) == 0) step(ended)
        }
    }

    private fun hasTarget() = announcedAt.let { it != null && clock.now - it < AgentOptions().announcementLife }

    private fun announce() {
        if (!targetUp || clock.now < frozenUntil) return
        step(AgentInput.TargetAnnounced(announcement))
        announcedAt = clock.now
    }

    private fun restartAgent() {
        links.values.toList().forEach { close(it) }
        agentRun++
        frozenUntil = Duration.ZERO
        announcedAt = null
        requested.clear()
        history.restarted()
        incarnation = IncarnationId("a.$agentRun")
        val hello = AgentHello(AgentId("a1"), incarnation, SiteId("s1"), ZoneId("z1"))
        core =
            AgentCore(
                hello = hello,
                clock = clock,
                options = AgentOptions(prefetch = random.nextInt(2)),
                policy = if (random.nextBoolean()) Placement.grants() else DemandGrantPolicy(),
            )
    }

    private fun delay() = if (chaos && random.nextInt(20) == 0) random.nextLong(1500).milliseconds else random.nextLong(1, 5).milliseconds

    private fun at(
        time: Duration,
        run: () -> Unit,
    ) = loop.at(time, run)

    private companion object {
        val CHAOS = 12.seconds
        val CALM = 25.seconds
    }
}
