package io.bluebellramp.samples

import io.bluebellramp.core.Address
import io.bluebellramp.messages.TargetAnnouncement
import io.bluebellramp.runtime.httpLink
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

/** Tells the agent at [agent] that a target is there. */
internal class TargetAnnouncer(
    private val agent: Address,
    private val announcement: TargetAnnouncement,
) : AutoCloseable {
    private val link = httpLink(timeout = 1.seconds)
    private val url = "http://$agent/v1/target"

    /** Announces the target again and again until it is cancelled. An agent that is not there is tried again. */
    suspend fun announce() {
        while (true) {
            attempt {
                link.post(url) {
                    contentType(ContentType.Application.Json)
                    setBody(announcement)
                }
            }
            delay(ANNOUNCEMENT_PERIOD)
        }
    }

    /** Tells the agent that the target leaves. */
    suspend fun leave() = attempt { link.delete(url) }

    override fun close() = link.close()

    private suspend fun attempt(call: suspend () -> Unit) {
        try {
            call()
        } catch (_: IOException) {
            return
        }
    }
}
