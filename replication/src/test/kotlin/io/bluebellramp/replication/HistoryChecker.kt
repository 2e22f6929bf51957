package io.bluebellramp.replication

import io.bluebellramp.core.MemberId
import kotlin.time.Duration

/**
 * Records what callers and members observe, in the order of the simulated time, and fails at the first observation that violates
 * linearizability or the safety of Raft.
 */
internal class HistoryChecker {
    /**
     * A proposal of [command] by a caller.
     *
     * @property returnedBefore the highest log index among the proposals that had returned before this one was called
     */
    class Operation(
        val command: String,
        val called: Duration,
        val returnedBefore: Long,
    ) {
        var result: ProposalResult? = null
    }

    private class Applied(
        val index: Long,
        val command: String,
    )

    private val applied = ArrayList<Applied>()
    private val leaders = HashMap<Long, MemberId>()
    private var lastElectedTerm = 0L
    private var lastReturnedIndex = 0L
    val operations = HashMap<String, Operation>()
    var acceptedCount = 0
        private set
    var electionCount = 0
        private set

    /** A caller proposes [command]. Every command accepted before must precede it in the log. */
    fun onCall(
        command: String,
        now: Duration,
    ) = Operation(command, now, lastReturnedIndex).also { operations[command] = it }

    fun onReturn(
        operation: Operation,
        result: ProposalResult,
    ) {
        operation.result = result
        if (result !is ProposalResult.Applied) return
        acceptedCount++
        check(applied.any { it.index == result.index && it.command == operation.command }) {
            "${operation.command} was accepted but not applied"
        }
        check(result.answer == operation.command) { "${operation.command} got the answer ${result.answer}" }
        check(result.index > operation.returnedBefore) {
            "${operation.command} was accepted at ${result.index}, but ${operation.returnedBefore} had returned before it was called"
        }
        lastReturnedIndex = maxOf(lastReturnedIndex, result.index)
    }

    /** A member applied [command] at [index] as its command number [position]. All members must apply the same sequence. */
    fun onApplied(
        position: Int,
        index: Long,
        command: String,
    ) {
        if (position < applied.size) {
            val first = applied[position]
            check(
                first.index == index && first.command == command,
            ) { "$command was applied at $index, but another member applied ${first.command} at ${first.index}" }
            return
        }
        check(applied.none { it.command == command }) { "$command was applied twice" }
        val operation = operations.getValue(command)
        check(index > operation.returnedBefore) {
            "$command was applied at $index, but ${operation.returnedBefore} had returned before it was called"
        }
        check(operation.result !is ProposalResult.NotLeader) {
            "$command was applied although the caller was told that it was not proposed"
        }
        applied += Applied(index, command)
    }

    fun onLeader(
        member: MemberId,
        term: Long,
    ) {
        val known = leaders.put(term, member)
        check(known == null || known == member) { "$known and $member are both leaders in term $term" }
        if (known == null) electionCount++
        lastElectedTerm = maxOf(lastElectedTerm, term)
    }

    /** [member] reports that it holds a majority in [term], and has applied [commands] commands. */
    fun onMajority(
        member: MemberId,
        term: Long,
        commands: Int,
    ) {
        check(term == lastElectedTerm) { "$member reports a majority in term $term after an election in term $lastElectedTerm" }
        val last = if (commands == 0) 0L else applied[commands - 1].index
        check(last >= lastReturnedIndex) { "$member reports a majority at index $last, but index $lastReturnedIndex was already accepted" }
    }

    /** A healthy member has applied [commands] commands at the end of the history, which must be all of them. */
    fun onEnd(commands: Int) {
        check(commands == applied.size) { "a member ended with $commands commands, but ${applied.size} were applied" }
    }
}
