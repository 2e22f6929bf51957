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
import io.bluebellramp.runtime.createHttpClient
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeout
import java.time.Instant
import kotlin.time.Duration.Companion.seconds

/** Largest request body that a [LocalEntry] accepts. */
internal const val MAX_BODY_BYTES = 100_000

/** Runs entries on loopback addresses with one [FakeControl], and stops them all. */
internal class LocalEntry(
    drainMillis: Long = 0,
    private val budget: MemoryBudget = MemoryBudget(),
) {
    val control = FakeControl()
    val address = freeAddress()
    val http = createHttpClient()
    val entry = newEntry("e1", address, drainMillis).start()
    private val otherEntries = ArrayList<EntryProgram>()
    private var isEntryStopped = false

    private fun newEntry(
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
            bodyBytes = MAX_BODY_BYTES.toLong(),
        ),
        budget = budget,
    )

    /** Starts another entry at [address]. */
    fun startAnother(
        name: String,
        address: Address,
    ): EntryProgram = newEntry(name, address).start().also { otherEntries += it }

    /** Runs [block] once the entry is ready. */
    fun runTest(block: suspend CoroutineScope.() -> Unit) =
        runBlocking {
            withTimeout(30.seconds) {
                while (!entry.isReady()) delay(5)
                block()
            }
        }

    /** Shuts the first entry down. */
    fun stopEntry() {
        isEntryStopped = true
        entry.stop()
    }

    fun stop() {
        if (!isEntryStopped) entry.stop()
        otherEntries.forEach { it.stop() }
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
