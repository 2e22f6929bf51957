package io.bluebellramp.entry

import io.bluebellramp.core.SubmissionId
import io.bluebellramp.messages.AnswerOutcome
import io.bluebellramp.messages.DispatchKind
import io.bluebellramp.messages.TaskSpecification
import java.time.Instant
import java.util.PriorityQueue
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** A simulation with virtual time, faults from a seeded random source, and a record of what happened. */
internal class SimWorld(
    seed: Int,
) {
    private class Event(
        val time: Duration,
        val order: Long,
        val run: () -> Unit,
    )

    val random = Random(seed)
    var now = Duration.ZERO
        private set
    private val events = PriorityQueue<Event>(compareBy({ it.time }, { it.order }))
    private var order = 0L
    val control = SimControl(this)
    val entries = ArrayList<SimEntry>()
    val agents = ArrayList<SimAgent>()
    val submissions = LinkedHashMap<SubmissionId, SubmissionSpec>()
    val starts = HashMap<SubmissionId, HashMap<Int, Int>>()
    val finishedTasks = HashMap<SubmissionId, HashSet<Int>>()
    val startingEntries = HashMap<SubmissionId, HashSet<String>>()
    val decisions = HashMap<String, Int>()
    private val takeovers = HashMap<SubmissionId, Duration>()
    private val owners = HashMap<SubmissionId, SimEntry>()
    val lateAnswers = ArrayList<SubmissionId>()
    val replies = ArrayList<Pair<SubmissionId, Reply>>()
    var openCalls = 0
    var faults = true

    fun schedule(
        delay: Duration,
        run: () -> Unit,
    ) {
        events += Event(now + delay, order++, run)
    }

    fun chance(share: Double) = random.nextDouble() < share

    fun randomMillis(
        from: Int,
        until: Int,
    ) = random.nextInt(from, until).milliseconds

    /** Returns a random delay, which is sometimes very long while faults are injected. */
    fun networkDelay(): Duration = if (faults && chance(0.03)) randomMillis(50, 1_500) else random.nextInt(100, 3_000).milliseconds / 1_000

    fun runUntil(
        until: Duration,
        stop: () -> Boolean = { false },
    ) {
        while (events.isNotEmpty() && events.peek().time <= until && !stop()) {
            val event = events.poll()
            now = event.time
            event.run()
        }
        if (!stop()) now = until
    }

    fun newSubmission(): SubmissionSpec {
        val id = SubmissionId.create(Instant.EPOCH.plusMillis(now.inWholeMilliseconds), random.nextLong(), random.nextLong())
        val isRequest = chance(0.2)
        val size = if (isRequest) 1 else random.nextInt(1, 9)
        val submission =
            SubmissionSpec(
                id = id,
                digest = "digest $id",
                service = SimControl.SERVICE,
                team = if (chance(0.3)) SimControl.TEAM else null,
                kind = if (isRequest) DispatchKind.REQUEST else DispatchKind.TASK,
                tasks = List(size) { TaskSpecification(id = "t$it", payload = "p$it") },
                deadlineMillis = random.nextLong(100, 6_000),
                idempotent = chance(0.2),
            )
        submissions[id] = submission
        return submission
    }

    fun recordStart(
        id: SubmissionId,
        task: Int,
        entry: String,
    ) {
        starts.getOrPut(id) { HashMap() }.merge(task, 1, Int::plus)
        startingEntries.getOrPut(id) { HashSet() } += entry
    }

    /** Records the decisions of [entry], and an answer that it gives as the owner well after another entry took the submission over. */
    fun recordAction(
        entry: SimEntry,
        action: Action,
    ) {
        if (action is Action.LogSubmissionDecision) {
            decisions.merge(action.kind, 1, Int::plus)
            if (action.kind == "takeover") takeovers.putIfAbsent(action.submission, now)
            if (action.kind == "admit") owners[action.submission] = entry
        }
        if (action !is Action.Deliver || owners[action.submission] !== entry) return
        val takenOverAt = takeovers[action.submission] ?: return
        val outcome = (action.reply as? Reply.Answered)?.answer?.outcome
        if (outcome != AnswerOutcome.FAILED && now > takenOverAt + MAX_PEER_LIST_AGE) lateAnswers += action.submission
    }

    private companion object {
        /** Greatest age of the list of live entries by which an entry decides to take over. */
        val MAX_PEER_LIST_AGE = 2.seconds
    }
}
