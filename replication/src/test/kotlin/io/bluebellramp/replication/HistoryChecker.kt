package io.bluebellramp.replication

import io.bluebellramp.core.MemberId
import kotlin.time.Duration

/** Records what callers and members saw on the one virtual clock, and fails at the first thing that must not be. */
internal class HistoryChecker {
    class Operation(
        val command: String,
        val called: Duration,
        val after: Long,
    ) {
        var result: ProposalResult? = null
    }

    private class Applied(
        val index: Long,
        val command: String,
    )

    private val applied = ArrayList<Applied>()
    private val leaders = HashMap<Long, MemberId>()
    private var lastElected = 0L
    private var lastReturned = 0L
    val operations = HashMap<String, Operation>()
    var accepted = 0
        private set
    var elections = 0
        private set

    /** Calls [command]. All that returned before it must come before it in the log. */
    fun call(
        command: String,
        now: Duration,
    ) = Operation(command, now, lastReturned).also { operations[command] = it }

    fun returned(
        operation: Operation,
        result: ProposalResult,
    ) {
        operation.result = result
        if (result !is ProposalResult.Applied) return
        accepted++
        check(applied.any { it.index == result.index && it.command == operation.command }) { "${operation.command} accepted, not applied" }
        check(result.answer == operation.command) { "${operation.command} got the answer ${result.answer}" }
        check(result.index > operation.after) { "${operation.command} at ${result.index} called after the return of ${operation.after}" }
        lastReturned = maxOf(lastReturned, result.index)
    }

    /** A member applied [command] as its number [position]. Every member must apply the same. */
    fun applied(
        position: Int,
        index: Long,
        command: String,
    ) {
        if (position < applied.size) {
            val first = applied[position]
            check(
                first.index == index && first.command == command,
            ) { "$command at $index where ${first.command} at ${first.index} was applied" }
            return
        }
        check(applied.none { it.command == command }) { "$command is applied twice" }
        val operation = operations.getValue(command)
        check(index > operation.after) { "$command applied at $index was called after the return of ${operation.after}" }
        check(operation.result !is ProposalResult.NotLeader) { "$command was refused and is applied" }
        applied += Applied(index, command)
    }

    fun leads(
        member: MemberId,
        term: Long,
    ) {
        val known = leaders.put(term, member)
        check(known == null || known == member) { "$known and $member both lead term $term" }
        if (known == null) elections++
        lastElected = maxOf(lastElected, term)
    }

    /** [member] says that it holds a majority, and its state machine has applied [commands]. */
    fun holdsMajority(
        member: MemberId,
        term: Long,
        commands: Int,
    ) {
        check(term == lastElected) { "$member holds a majority in term $term after an election in term $lastElected" }
        val last = if (commands == 0) 0L else applied[commands - 1].index
        check(last >= lastReturned) { "$member holds a majority at $last but $lastReturned was accepted" }
    }

    /** All members are healthy again and have applied [commands] commands each. */
    fun ends(commands: Int) {
        check(commands == applied.size) { "$commands commands at the end, ${applied.size} were applied" }
    }
}
