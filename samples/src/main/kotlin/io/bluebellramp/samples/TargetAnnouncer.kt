package io.bluebellramp.samples

import io.bluebellramp.core.Address
import io.bluebellramp.messages.TargetAnnouncement
import io.bluebellramp.runtime.createHttpClient
import io.ktor.client.request.delete
import io.ktor.client.request.post
import io.ktor.client.request.setBody
import io.ktor.http.ContentType
import io.ktor.http.contentType
import kotlinx.coroutines.delay
import java.io.IOException
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private val ANNOUNCEMENT_PERIOD = 500.milliseconds

/** Announces a target to the agent at [agent]. */
internal class TargetAnnouncer(
    private val agent: Address,
    private val announcement: TargetAnnouncement,
) : AutoCloseable {
    private val httpClient = createHttpClient(timeout = 1.seconds)
    private val url = "http://$agent/v1/target"

    /** Announces the target every [ANNOUNCEMENT_PERIOD] until cancelled, also while the agent cannot be reached. */
    suspend fun announce() {
        while (true) {
            ignoringIoErrors {
                httpClient.post(url) {
                    contentType(ContentType.Application.Json)
                    setBody(announcement)
                }
            }
            delay(ANNOUNCEMENT_PERIOD)
        }
    }

    /** Withdraws the announcement, so that the agent sends no more calls to the target. */
    suspend fun withdraw() = ignoringIoErrors { httpClient.delete(url) }

    override fun close() = httpClient.close()

    private suspend fun ignoringIoErrors(call: suspend () -> Unit) {
        try {
            call()
        } catch (_: IOException) {
            return
        }
    }
}
