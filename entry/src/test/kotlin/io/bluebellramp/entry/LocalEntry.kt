package io.bluebellramp.entry

import io.bluebellramp.core.Address
import io.bluebellramp.core.EntryId
import io.bluebellramp.core.ServiceId
import io.bluebellramp.core.SiteId
import io.bluebellramp.core.SubmissionId
import io.bluebellramp.core.ZoneId
import io.bluebellramp.messages.EntrySettings
import io.bluebellramp.messages.JobSubmission
import io.bluebellramp.messages.TaskSpecification
import io.bluebellramp.runtime.httpLink
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeout
import java.time.Instant
import kotlin.time.Duration.Companion.seconds

/** Largest body that a [LocalEntry] takes (bytes). */
internal const val BODY_BYTES = 100_000

/** Runs entry processes on loopback with one [FakeControl], and ends them all. */
internal class LocalEntry(
    drainMillis: Long = 0,
    private val budget: MemoryBudget = MemoryBudget(),
) {
    val control = FakeControl()
    val address = freeAddress()
    val http = httpLink()
    val entry = program("e1", address, drainMillis).start()
    private val others = ArrayList<EntryProgram>()
    private var hasStopped = false

    private fun program(
        name: String,
        address: Address,
        drainMillis: Long = 0,
    ) = EntryProgram(
        EntrySettings(
            entry = EntryId(name),
            site = SiteId("vestland"),
            zone = ZoneId("bergen-a"),
            listen = address,
            controls = listOf(freeAddress(), control.address),
            drainMillis = drainMillis,
            bodyBytes = BODY_BYTES.toLong(),
        ),
        budget = budget,
    )

    /** Starts one more entry at [address]. */
    fun another(
        name: String,
        address: Address,
    ): EntryProgram = program(name, address).start().also { others += it }

    /** Runs [block] once the entry is ready. */
    fun test(block: suspend CoroutineScope.() -> Unit) =
        runBlocking {
            withTimeout(30.seconds) {
                while (!entry.isReady()) delay(5)
                block()
            }
        }

    /** Shuts the first entry down. */
    fun stopEntry() {
        hasStopped = true
        entry.stop()
    }

    fun stop() {
        if (!hasStopped) entry.stop()
        others.forEach { it.stop() }
        control.stop()
        http.close()
    }
}

/** A job of [size] tasks. */
internal fun job(
    size: Int = 3,
    id: SubmissionId = SubmissionId.create(Instant.now()),
    service: String = "desk",
) = JobSubmission(
    submission = id,
    service = ServiceId(service),
    tasks = List(size) { TaskSpecification(id = "t$it", payload = "p$it") },
)
