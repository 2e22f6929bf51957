package io.bluebellramp.control

import io.bluebellramp.core.Revision
import io.bluebellramp.messages.LeaseRequest
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Simulates a leader that may change, and links that delay and drop messages at random. */
internal class PermitSimulation(
    private val random: Random,
) {
    private val clock = ManualClock()
    val timer = VirtualTimeScheduler(clock)
    private var term = 1L
    private var revision = 1L
    private var table = LeaseTable(clock, LEASE_DURATION).apply { enterTerm(term) }
    private var follower = LeaseTable(clock, LEASE_DURATION)
    var hasLeader = true
        private set

    val now get() = clock.elapsed

    fun delay(): Duration = if (random.nextInt(15) == 0) random.nextInt(3000).milliseconds else random.nextInt(1, 20).milliseconds

    fun isDropped() = random.nextInt(15) == 0

    fun randomIndex(count: Int) = random.nextInt(count)

    fun accept(): Long {
        val next = Revision(++revision)
        val other = follower
        table.recordAccepted(next)
        timer.after(random.nextInt(100).milliseconds) { other.recordAccepted(next) }
        return revision
    }

    fun isInForce(asked: Long) = table.isInForce(Revision(asked), accepted = Revision(revision))

    /** Disconnects the leader; another one is elected after [outage]. */
    fun elect(outage: Duration) {
        hasLeader = false
        timer.after(outage) {
            table = follower.also { follower = table }
            table.recordAccepted(Revision(revision))
            table.enterTerm(++term)
            hasLeader = true
        }
    }

    /** Passes [request] to the leader, which holds it for a while and answers with a revision if it is still the leader. */
    fun lease(
        request: LeaseRequest,
        answer: (Long) -> Unit,
    ) {
        val arrivedAt = now
        if (!hasLeader) return
        table.recordRequest(request, arrivedAt)
        val asked = term
        val until = now + random.nextInt(400).milliseconds
        hold(request, until) {
            if (hasLeader && asked == term) {
                table.recordLease(request, arrivedAt, Revision(revision))
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
        timer.after(5.milliseconds) { hold(request, until, then) }
    }
}

/** A process that does nothing while frozen, and then handles the messages that have arrived. */
internal abstract class SimulatedProcess(
    protected val cluster: PermitSimulation,
) {
    var frozenUntil = Duration.ZERO
    protected val now get() = cluster.now

    /** Runs [action] on this process after a message delay, unless the message is dropped. */
    fun receive(action: () -> Unit) {
        if (!cluster.isDropped()) cluster.timer.after(cluster.delay()) { runWhenAwake(action) }
    }

    protected fun every(
        period: Duration,
        action: () -> Unit,
    ) {
        runWhenAwake(action)
        cluster.timer.after(period) { every(period, action) }
    }

    private fun runWhenAwake(action: () -> Unit) {
        if (now >= frozenUntil) action() else cluster.timer.after(frozenUntil - now) { runWhenAwake(action) }
    }
}

/** An entry that renews its lease and issues permits to agents. */
internal class SimulatedEntry(
    private val name: String,
    cluster: PermitSimulation,
) : SimulatedProcess(cluster) {
    private var revision = 0L
    private var leaseEnd = Duration.ZERO
    private val permitEndByRevision = mutableMapOf<Long, Duration>()

    fun run() =
        every(300.milliseconds) {
            val sent = now
            val request = leaseRequest(name, revision = revision, oldestPermit = oldestPermit())
            if (!cluster.isDropped()) cluster.timer.after(cluster.delay()) { cluster.lease(request) { receive { onRenewed(it, sent) } } }
        }

    /** Issues a permit that is valid as long as the lease, or none without a lease. */
    fun permit(answer: (revision: Long, valid: Duration) -> Unit) {
        if (now >= leaseEnd) return
        permitEndByRevision[revision] = leaseEnd
        answer(revision, leaseEnd - now)
    }

    private fun onRenewed(
        granted: Long,
        sent: Duration,
    ) {
        if (granted < revision) return
        leaseEnd = if (granted > revision) sent + LEASE_DURATION else maxOf(leaseEnd, sent + LEASE_DURATION)
        revision = granted
    }

    private fun oldestPermit(): Long = permitEndByRevision.filterValues { it > now }.keys.minOrNull() ?: revision
}

/** An agent that starts tasks as long as it has a valid permit. */
internal class SimulatedAgent(
    cluster: PermitSimulation,
    private val entries: List<SimulatedEntry>,
) : SimulatedProcess(cluster) {
    private var revision = 0L
    private var permitEnd = Duration.ZERO

    fun run(onTaskStarted: (revision: Long) -> Unit) {
        every(300.milliseconds) {
            val sent = now
            val entry = entries[cluster.randomIndex(entries.size)]
            entry.receive { entry.permit { revision, valid -> receive { onPermit(revision, sent + valid) } } }
        }
        every(20.milliseconds) { if (now < permitEnd) onTaskStarted(revision) }
    }

    private fun onPermit(
        granted: Long,
        end: Duration,
    ) {
        if (granted < revision) return
        permitEnd = if (granted > revision) end else maxOf(permitEnd, end)
        revision = granted
    }
}
