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

/** One run of an entry: the core, and its shell over a network that loses and delays. */
internal class SimEntry(
    val world: SimWorld,
    private val index: Int,
    run: Int,
) {
    val identity =
        EntryIdentity(
            entry = EntryId("e$index"),
            incarnation = IncarnationId("${world.random.nextInt(100, 1_000)}-$index-$run"),
            address = Address("127.0.0.1:$index"),
            site = SiteId("vestland"),
            zone = ZoneId("z$index"),
        )
    val core = EntryCore(identity, queuedTasks = 60)
    val links = HashMap<LinkId, SimLink>()
    var isAlive = true
    var frozenUntil = Duration.ZERO
    var isolatedUntil = Duration.ZERO
    private val waiters = HashMap<SubmissionId, ArrayList<(Reply) -> Unit>>()

    private val isIsolated get() = world.now < isolatedUntil

    fun start() {
        tick()
        lease()
    }

    /** Runs [block] now, or when the process thaws, unless it is dead. */
    fun step(block: EntryCore.(Duration) -> Unit) {
        if (!isAlive) return
        if (world.now < frozenUntil) return world.at(frozenUntil - world.now) { step(block) }
        core.block(world.now)
        core.take().forEach(::carryOut)
    }

    private fun tick() {
        if (!isAlive) return
        step { tick(it) }
        world.at(20.milliseconds, ::tick)
    }

    private fun lease() {
        if (!isAlive) return
        step { now ->
            val request = leaseRequest(waitMillis = 0, leaving = false, now = now)
            world.agents.forEach { agent ->
                assertTrue(
                    agent.alivePermits(identity.incarnation).all { it >= request.oldestPermit },
                    "a permit below oldestPermit is alive",
                )
            }
            if (!isIsolated) {
                world.at(world.hop()) {
                    val response = world.control.lease(request)
                    if (!isIsolated) world.at(world.hop()) { step { renewed(response, now, it) } }
                }
            }
        }
        world.at(250.milliseconds, ::lease)
    }

    fun submit(new: NewSubmission) {
        step { now ->
            world.openCalls++
            val reply = submit(new, now)
            val done: (Reply) -> Unit = {
                world.openCalls--
                world.replies += new.id to it
            }
            if (reply != null) done(reply) else await(new.id, done)
        }
    }

    private fun await(
        id: SubmissionId,
        done: (Reply) -> Unit,
    ) {
        waiters.getOrPut(id) { ArrayList() } += done
    }

    /** Kills the process. Its callers see a broken connection. */
    fun kill() {
        isAlive = false
        world.openCalls -= waiters.values.sumOf { it.size } - peerCalls
        links.values.toList().forEach { it.cut() }
    }

    private var peerCalls = 0

    private fun carryOut(action: Action) {
        world.decided(this, action)
        when (action) {
            is Action.Claim -> {
                claim(Claim(action.submission, action.digest, action.takeover), tries = 6)
            }

            is Action.Release -> {
                world.control.members.forEach { m -> reach { m.release(action.submission, identity.incarnation) } }
            }

            is Action.Follow -> {
                follow(action.submission, action.owner)
            }

            is Action.CancelAtOwner -> {
                entry(action.owner)?.let { owner ->
                    world.at(world.hop()) { owner.step { cancel(action.submission, it) } }
                }
            }

            is Action.Deliver -> {
                waiters.remove(action.submission)?.forEach { it(action.reply) }
            }

            is Action.Wake -> {
                links[action.link]?.let { link ->
                    world.at(Duration.ZERO) { step { now -> drain(action.link, now)?.let(link::toAgent) } }
                }
            }

            is Action.Close -> {
                links[action.link]?.cut()
            }

            else -> {}
        }
    }

    private fun reach(block: () -> Unit) {
        if (!isIsolated && !(world.faults && world.chance(0.05))) world.at(world.hop(), block)
    }

    private fun claim(
        claim: Claim,
        tries: Int,
    ) {
        val tally = ClaimTally(3, identity.incarnation)
        val sent = world.now
        var decided = false

        fun verdict(verdict: ClaimVerdict?) =
            step { now ->
                tally.add(verdict.takeIf { now - sent < 1.seconds })
                val result = tally.result()
                if (result != null && !decided) {
                    decided = true
                    val isLost = result.isOpen
                    if (isLost &&
                        tries > 1
                    ) {
                        world.at(30.milliseconds) { claim(claim, tries - 1) }
                    } else {
                        claimed(claim.submission, result, now)
                    }
                }
            }
        world.control.members.forEach { member ->
            var answered = false

            fun once(verdict: ClaimVerdict?) {
                if (!answered) verdict(verdict)
                answered = true
            }
            world.at(400.milliseconds) { once(null) }
            reach {
                val verdict = member.judge(claim, identity.holder)
                reach { once(verdict) }
            }
            if (world.faults && world.chance(0.02)) reach { member.judge(claim, identity.holder) }
        }
    }

    private fun entry(owner: ClaimHolder) = world.entries.lastOrNull { it.isAlive && it.identity.address == owner.address }

    private fun follow(
        id: SubmissionId,
        owner: ClaimHolder,
    ) {
        var answered = false

        fun once(result: FollowResult) {
            if (answered) return
            answered = true
            val pause = if (result is FollowResult.Answered) Duration.ZERO else 50.milliseconds
            world.at(pause) { step { followed(id, result, it) } }
        }
        world.at(1_500.milliseconds) { once(FollowResult.NoAnswer) }
        val peer = entry(owner)?.takeIf { it.identity.incarnation == owner.incarnation } ?: return
        world.at(world.hop()) {
            peer.step {
                val found = lookup(id)
                when {
                    found == Lookup.Unknown -> {
                        releaseUnknown(id)
                        once(FollowResult.NotOwner)
                    }

                    found is Lookup.Answered -> {
                        world.at(world.hop()) { once(FollowResult.Answered(found.answer)) }
                    }

                    found is Lookup.Lost -> {
                        world.at(world.hop()) { once(FollowResult.Answered(found.answer)) }
                    }

                    (found as Lookup.Pending).isFollowing -> {
                        once(FollowResult.NotOwner)
                    }

                    else -> {
                        peer.peerCalls++
                        peer.await(id) {
                            peer.peerCalls--
                            once(if (it is Reply.Whole) FollowResult.Answered(it.answer) else FollowResult.NotOwner)
                        }
                    }
                }
            }
        }
    }
}
