package io.bluebellramp.entry

import io.bluebellramp.core.Clock
import io.bluebellramp.core.SubmissionId
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Deferred
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.completeWith
import kotlinx.coroutines.delay
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch
import kotlinx.coroutines.withContext
import java.util.concurrent.ConcurrentLinkedQueue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Carries out the actions that need other processes. */
internal interface EntryLinks {
    /** Asks the members for a claim. */
    fun claim(claim: Action.Claim)

    /** Gives up a claim. */
    fun release(submission: SubmissionId)

    /** Asks the owner for its answer. */
    fun follow(follow: Action.Follow)

    /** Passes a cancel on. */
    fun cancelAtOwner(cancel: Action.CancelAtOwner)

    /** Sends what waits for the link. */
    fun wake(link: LinkId)

    /** Closes the link. */
    fun close(link: LinkId)

    /** Logs a decision. */
    fun log(decision: Action)
}

/** Confines [core] to one coroutine at a time, and carries out its actions. */
internal class EntryShell(
    private val core: EntryCore,
    private val clock: Clock,
    private val scope: CoroutineScope,
) {
    private val confined = Dispatchers.Default.limitedParallelism(1)
    private val first = ConcurrentLinkedQueue<() -> Unit>()
    private val waiters = HashMap<SubmissionId, CompletableDeferred<Reply>>()
    lateinit var links: EntryLinks

    /** Runs [block] on the core with the time, then carries out what it asked for. */
    suspend fun <T> use(block: EntryCore.(Duration) -> T): T =
        withContext(confined) {
            runFirst()
            run(block)
        }

    /** Like [use], but before all that waits for the core. It is for what keeps the lease. */
    suspend fun <T> useFirst(block: EntryCore.(Duration) -> T): T {
        val result = CompletableDeferred<T>()
        first += { result.completeWith(runCatching { run(block) }) }
        scope.launch(confined) { runFirst() }
        return result.await()
    }

    private fun runFirst() {
        while (true) first.poll()?.invoke() ?: return
    }

    private fun <T> run(block: EntryCore.(Duration) -> T): T {
        val result = core.block(clock.monotonic())
        core.take().forEach(::carryOut)
        return result
    }

    /** Starts the clock of the core. [afterTick] runs in the core's coroutine. */
    fun start(afterTick: (Duration) -> Unit) {
        scope.launch {
            while (isActive) {
                delay(TICK)
                use {
                    tick(it)
                    afterTick(it)
                }
            }
        }
    }

    /** Submits [new] and returns the reply to come. */
    suspend fun submit(new: NewSubmission): Deferred<Reply> =
        use { now ->
            val reply = submit(new, now)
            if (reply != null) CompletableDeferred(reply) else waiters.getOrPut(new.id) { CompletableDeferred() }
        }

    /** Returns the reply to come for [id], or null if the id is not known. */
    suspend fun find(id: SubmissionId): Deferred<Reply>? =
        use {
            when (val found = lookup(id)) {
                is Lookup.Answered -> CompletableDeferred(Reply.Whole(found.answer))
                is Lookup.Pending, is Lookup.Lost -> waiters.getOrPut(id) { CompletableDeferred() }
                Lookup.Unknown -> null
            }
        }

    private fun carryOut(action: Action) {
        when (action) {
            is Action.Claim -> links.claim(action)
            is Action.Release -> links.release(action.submission)
            is Action.Follow -> links.follow(action)
            is Action.CancelAtOwner -> links.cancelAtOwner(action)
            is Action.Deliver -> waiters.remove(action.submission)?.complete(action.reply)
            is Action.Wake -> links.wake(action.link)
            is Action.Close -> links.close(action.link)
            is Action.LogPlacement, is Action.LogRouting -> links.log(action)
        }
    }

    private companion object {
        val TICK = 5.milliseconds
    }
}
