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

/** Carries out the actions of [EntryCore] that need I/O. */
internal interface ActionHandler {
    /** Requests a claim from the voting members. */
    fun claim(claim: Action.Claim)

    /** Releases a claim. */
    fun release(submission: SubmissionId)

    /** Asks the owning entry for its answer. */
    fun queryOwner(query: Action.QueryOwner)

    /** Forwards a cancellation to the owning entry. */
    fun cancelAtOwner(cancel: Action.CancelAtOwner)

    /** Sends the pending data for [link]. */
    fun flush(link: LinkId)

    /** Closes the connection [link]. */
    fun close(link: LinkId)

    /** Logs a decision. */
    fun log(decision: Action)
}

/** Runs [core] in one coroutine at a time and executes its actions. */
internal class EntryCoreRunner(
    private val core: EntryCore,
    private val clock: Clock,
    private val scope: CoroutineScope,
) {
    private val coreDispatcher = Dispatchers.Default.limitedParallelism(1)
    private val priorityBlocks = ConcurrentLinkedQueue<() -> Unit>()
    private val waiters = HashMap<SubmissionId, CompletableDeferred<Reply>>()
    lateinit var handler: ActionHandler

    /** Runs [block] on the core with the current time, then executes the resulting actions. */
    suspend fun <T> withCore(block: EntryCore.(Duration) -> T): T =
        withContext(coreDispatcher) {
            runPriorityBlocks()
            run(block)
        }

    /** Like [withCore], but ahead of all other waiting calls, so that lease renewal is not delayed by load. */
    suspend fun <T> withCoreFirst(block: EntryCore.(Duration) -> T): T {
        val result = CompletableDeferred<T>()
        priorityBlocks += { result.completeWith(runCatching { run(block) }) }
        scope.launch(coreDispatcher) { runPriorityBlocks() }
        return result.await()
    }

    private fun runPriorityBlocks() {
        while (true) priorityBlocks.poll()?.invoke() ?: return
    }

    private fun <T> run(block: EntryCore.(Duration) -> T): T {
        val result = core.block(clock.monotonic())
        core.takeActions().forEach(::execute)
        return result
    }

    /** Starts to call [EntryCore.tick] regularly. [afterTick] runs in the core's coroutine. */
    fun start(afterTick: (Duration) -> Unit) {
        scope.launch {
            while (isActive) {
                delay(TICK_INTERVAL)
                withCore {
                    tick(it)
                    afterTick(it)
                }
            }
        }
    }

    /** Submits [spec] and returns the future reply. */
    suspend fun submit(spec: SubmissionSpec): Deferred<Reply> =
        withCore { now ->
            val reply = submit(spec, now)
            if (reply != null) CompletableDeferred(reply) else waiters.getOrPut(spec.id) { CompletableDeferred() }
        }

    /** Returns the future reply for [id], or null if the id is unknown. */
    suspend fun find(id: SubmissionId): Deferred<Reply>? =
        withCore {
            when (val found = lookup(id)) {
                is LookupResult.Answered -> CompletableDeferred(Reply.Answered(found.answer))
                is LookupResult.Pending, is LookupResult.Lost -> waiters.getOrPut(id) { CompletableDeferred() }
                LookupResult.Unknown -> null
            }
        }

    private fun execute(action: Action) {
        when (action) {
            is Action.Claim -> handler.claim(action)
            is Action.Release -> handler.release(action.submission)
            is Action.QueryOwner -> handler.queryOwner(action)
            is Action.CancelAtOwner -> handler.cancelAtOwner(action)
            is Action.Deliver -> waiters.remove(action.submission)?.complete(action.reply)
            is Action.Flush -> handler.flush(action.link)
            is Action.Close -> handler.close(action.link)
            is Action.LogPlacementDecision, is Action.LogSubmissionDecision -> handler.log(action)
        }
    }

    private companion object {
        val TICK_INTERVAL = 5.milliseconds
    }
}
