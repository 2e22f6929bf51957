package io.bluebellramp.control

import io.bluebellramp.core.Revision
import io.bluebellramp.messages.LeaseRequest
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** A leader that may change, and links that delay and drop, by seed. */
internal class PermitWorld(
    private val random: Random,
) {
    private val clock = ManualClock()
    val time = Timeline(clock)
    private var term = 1L
    private var revision = 1L
    private var table = LeaseTable(clock, LIFE).apply { lead(term) }
    private var follower = LeaseTable(clock, LIFE)
    var isLed = true
        private set

    val now get() = clock.elapsed

    fun delay(): Duration = if (random.nextInt(15) == 0) random.nextInt(3000).milliseconds else random.nextInt(1, 20).milliseconds

    fun isDropped() = random.nextInt(15) == 0

    fun oneOf(count: Int) = random.nextInt(count)

    fun accept(): Long {
        val next = Revision(++revision)
        val other = follower
        table.accept(next)
        time.after(random.nextInt(100).milliseconds) { other.accept(next) }
        return revision
    }

    fun isInForce(asked: Long) = table.isInForce(Revision(asked), accepted = Revision(revision))

    /** The leader is cut off; another one is elected after [outage]. */
    fun elect(outage: Duration) {
        isLed = false
        time.after(outage) {
            table = follower.also { follower = table }
            table.accept(Revision(revision))
            table.lead(++term)
            isLed = true
        }
    }

    /** The leader gets [request], holds it for a while, and answers with a revision if it still leads. */
    fun lease(
        request: LeaseRequest,
        answer: (Long) -> Unit,
    ) {
        val arrived = now
        if (!isLed) return
        table.report(request, arrived)
        val asked = term
        val until = now + random.nextInt(400).milliseconds
        hold(request, until) {
            if (isLed && asked == term) {
                table.grant(request, arrived, Revision(revision))
                answer(revision)
            }
        }
    }

    private fun hold(
        request: LeaseRequest,
        until: Duration,
        then: () -> Unit,
    ) {
        if (now >= until || revision > request.revision.value) return then()
        time.after(5.milliseconds) { hold(request, until, then) }
    }
}

/** A process that does nothing while it is frozen, and then reads what came meanwhile. */
internal abstract class ModelProcess(
    protected val world: PermitWorld,
) {
    var frozenUntil = Duration.ZERO
    protected val now get() = world.now

    /** Runs [action] here after the time of a message, unless the message is lost. */
    fun receive(action: () -> Unit) {
        if (!world.isDropped()) world.time.after(world.delay()) { awake(action) }
    }

    protected fun every(
        period: Duration,
        action: () -> Unit,
    ) {
        awake(action)
        world.time.after(period) { every(period, action) }
    }

    private fun awake(action: () -> Unit) {
        if (now >= frozenUntil) action() else world.time.after(frozenUntil - now) { awake(action) }
    }
}

/** An entry that keeps the rules of permits. */
internal class ModelEntry(
    private val name: String,
    world: PermitWorld,
) : ModelProcess(world) {
    private var revision = 0L
    private var leaseEnd = Duration.ZERO
    private val passed = mutableMapOf<Long, Duration>()

    fun run() =
        every(300.milliseconds) {
            val sent = now
            val request = leaseRequest(name, revision = revision, oldestPermit = oldestPermit())
            if (!world.isDropped()) world.time.after(world.delay()) { world.lease(request) { receive { renewed(it, sent) } } }
        }

    /** Passes on a permit, valid for as long as the lease is. */
    fun permit(answer: (revision: Long, valid: Duration) -> Unit) {
        if (now >= leaseEnd) return
        passed[revision] = leaseEnd
        answer(revision, leaseEnd - now)
    }

    private fun renewed(
        granted: Long,
        sent: Duration,
    ) {
        if (granted < revision) return
        leaseEnd = if (granted > revision) sent + LIFE else maxOf(leaseEnd, sent + LIFE)
        revision = granted
    }

    private fun oldestPermit(): Long = passed.filterValues { it > now }.keys.minOrNull() ?: revision
}

/** An agent that starts a task whenever its permit allows it. */
internal class ModelAgent(
    world: PermitWorld,
    private val entries: List<ModelEntry>,
) : ModelProcess(world) {
    private var revision = 0L
    private var permitEnd = Duration.ZERO

    fun run(started: (revision: Long) -> Unit) {
        every(300.milliseconds) {
            val sent = now
            val entry = entries[world.oneOf(entries.size)]
            entry.receive { entry.permit { revision, valid -> receive { permitted(revision, sent + valid) } } }
        }
        every(20.milliseconds) { if (now < permitEnd) started(revision) }
    }

    private fun permitted(
        granted: Long,
        end: Duration,
    ) {
        if (granted < revision) return
        permitEnd = if (granted > revision) end else maxOf(permitEnd, end)
        revision = granted
    }
}
