package io.bluebellramp.entry

import io.bluebellramp.core.Address
import io.bluebellramp.core.EntryId
import io.bluebellramp.core.IncarnationId
import io.bluebellramp.core.SiteId
import io.bluebellramp.core.SubmissionId
import io.bluebellramp.core.ZoneId
import io.bluebellramp.messages.Claim
import io.bluebellramp.messages.ClaimHolder
import io.bluebellramp.messages.ClaimVerdict
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** One incarnation of a simulated entry: an [EntryCore] whose actions go over a network that loses and delays messages. */
internal class SimEntry(
    val world: SimWorld,
    private val index: Int,
    generation: Int,
) {
    val identity =
        EntryIdentity(
            entry = EntryId("e$index"),
            incarnation = IncarnationId("${world.random.nextInt(100, 1_000)}-$index-$generation"),
            address = Address("127.0.0.1:$index"),
            site = SiteId("vestland"),
            zone = ZoneId("z$index"),
        )
    val core = EntryCore(identity, maxQueuedTasks = 60)
    val links = HashMap<LinkId, SimLink>()
    var isAlive = true
    var frozenUntil = Duration.ZERO
    var isolatedUntil = Duration.ZERO
    private val waiters = HashMap<SubmissionId, ArrayList<(Reply) -> Unit>>()

    private val isIsolated get() = world.now < isolatedUntil

    fun start() {
        tick()
        requestLease()
    }

    /** Runs [block] now, or once the process is no longer frozen. Does nothing if the process is dead. */
    fun step(block: EntryCore.(Duration) -> Unit) {
        if (!isAlive) return
        if (world.now < frozenUntil) return world.schedule(frozenUntil - world.now) { step(block) }
        core.block(world.now)
        core.takeActions().forEach(::execute)
    }

    private fun tick() {
        if (!isAlive) return
        step { tick(it) }
        world.schedule(20.milliseconds, ::tick)
    }

    private fun requestLease() {
        if (!isAlive) return
        step { now ->
            val request = leaseRequest(waitMillis = 0, leaving = false, now = now)
            world.agents.forEach { agent ->
                assertTrue(
                    agent.livePermitRevisions(identity.incarnation).all { it >= request.oldestPermit },
                    "a permit below oldestPermit is alive",
                )
            }
            if (!isIsolated) {
                world.schedule(world.networkDelay()) {
                    val response = world.control.lease(request)
                    if (!isIsolated) world.schedule(world.networkDelay()) { step { onLeaseResponse(response, now, it) } }
                }
            }
        }
        world.schedule(250.milliseconds, ::requestLease)
    }

    fun submit(spec: SubmissionSpec) {
        step { now ->
            world.openCalls++
            val reply = submit(spec, now)
            val onReply: (Reply) -> Unit = {
                world.openCalls--
                world.replies += spec.id to it
            }
            if (reply != null) onReply(reply) else awaitReply(spec.id, onReply)
        }
    }

    private fun awaitReply(
        id: SubmissionId,
        onReply: (Reply) -> Unit,
    ) {
        waiters.getOrPut(id) { ArrayList() } += onReply
    }

    /** Kills the process. Its callers lose their connection. */
    fun kill() {
        isAlive = false
        world.openCalls -= waiters.values.sumOf { it.size } - peerCalls
        links.values.toList().forEach { it.cut() }
    }

    private var peerCalls = 0

    private fun execute(action: Action) {
        world.recordAction(this, action)
        when (action) {
            is Action.Claim -> {
                claim(Claim(action.submission, action.digest, action.takeover), tries = 6)
            }

            is Action.Release -> {
                world.control.members.forEach { m -> sendToMember { m.release(action.submission, identity.incarnation) } }
            }

            is Action.QueryOwner -> {
                queryOwner(action.submission, action.owner)
            }

            is Action.CancelAtOwner -> {
                liveEntry(action.owner)?.let { owner ->
                    world.schedule(world.networkDelay()) { owner.step { cancel(action.submission, it) } }
                }
            }

            is Action.Deliver -> {
                waiters.remove(action.submission)?.forEach { it(action.reply) }
            }

            is Action.Flush -> {
                links[action.link]?.let { link ->
                    world.schedule(Duration.ZERO) { step { now -> takeFrame(action.link, now)?.let(link::sendToAgent) } }
                }
            }

            is Action.Close -> {
                links[action.link]?.cut()
            }

            else -> {}
        }
    }

    private fun sendToMember(block: () -> Unit) {
        if (!isIsolated && !(world.faults && world.chance(0.05))) world.schedule(world.networkDelay(), block)
    }

    private fun claim(
        claim: Claim,
        tries: Int,
    ) {
        val tally = ClaimTally(3, identity.incarnation)
        val sent = world.now
        var isDecided = false

        fun addVerdict(verdict: ClaimVerdict?) =
            step { now ->
                tally.add(verdict.takeIf { now - sent < 1.seconds })
                val result = tally.result()
                if (result != null && !isDecided) {
                    isDecided = true
                    val mayRetry = result.isRetryable
                    if (mayRetry &&
                        tries > 1
                    ) {
                        world.schedule(30.milliseconds) { claim(claim, tries - 1) }
                    } else {
                        onClaimResult(claim.submission, result, now)
                    }
                }
            }
        world.control.members.forEach { member ->
            var hasReplied = false

            fun replyOnce(verdict: ClaimVerdict?) {
                if (!hasReplied) addVerdict(verdict)
                hasReplied = true
            }
            world.schedule(400.milliseconds) { replyOnce(null) }
            sendToMember {
                val verdict = member.vote(claim, identity.holder)
                sendToMember { replyOnce(verdict) }
            }
            if (world.faults && world.chance(0.02)) sendToMember { member.vote(claim, identity.holder) }
        }
    }

    private fun liveEntry(owner: ClaimHolder) = world.entries.lastOrNull { it.isAlive && it.identity.address == owner.address }

    private fun queryOwner(
        id: SubmissionId,
        owner: ClaimHolder,
    ) {
        var hasReplied = false

        fun replyOnce(result: OwnerReply) {
            if (hasReplied) return
            hasReplied = true
            val pause = if (result is OwnerReply.Answered) Duration.ZERO else 50.milliseconds
            world.schedule(pause) { step { onOwnerReply(id, result, it) } }
        }
        world.schedule(1_500.milliseconds) { replyOnce(OwnerReply.NoAnswer) }
        val peer = liveEntry(owner)?.takeIf { it.identity.incarnation == owner.incarnation } ?: return
        world.schedule(world.networkDelay()) {
            peer.step {
                val found = lookup(id)
                when {
                    found == LookupResult.Unknown -> {
                        releaseUnknown(id)
                        replyOnce(OwnerReply.NotOwner)
                    }

                    found is LookupResult.Answered -> {
                        world.schedule(world.networkDelay()) { replyOnce(OwnerReply.Answered(found.answer)) }
                    }

                    found is LookupResult.Lost -> {
                        world.schedule(world.networkDelay()) { replyOnce(OwnerReply.Answered(found.answer)) }
                    }

                    (found as LookupResult.Pending).isRemote -> {
                        replyOnce(OwnerReply.NotOwner)
                    }

                    else -> {
                        peer.peerCalls++
                        peer.awaitReply(id) {
                            peer.peerCalls--
                            replyOnce(if (it is Reply.Answered) OwnerReply.Answered(it.answer) else OwnerReply.NotOwner)
                        }
                    }
                }
            }
        }
    }
}
