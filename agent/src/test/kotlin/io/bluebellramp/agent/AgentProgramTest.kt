package io.bluebellramp.agent

import io.bluebellramp.core.AgentId
import io.bluebellramp.core.ServiceId
import io.bluebellramp.core.SiteId
import io.bluebellramp.core.TargetId
import io.bluebellramp.core.ZoneId
import io.bluebellramp.messages.AgentSettings
import io.bluebellramp.messages.TargetAnnouncement
import io.bluebellramp.messages.TargetAnswer
import io.bluebellramp.messages.TargetCall
import io.bluebellramp.messages.TaskStatus
import io.bluebellramp.runtime.httpLink
import io.bluebellramp.runtime.httpServer
import io.ktor.client.request.post
import io.ktor.client.request.setBody
import io.ktor.http.ContentType
import io.ktor.http.contentType
import io.ktor.server.request.receive
import io.ktor.server.response.respond
import io.ktor.server.routing.post
import io.prometheus.metrics.model.registry.PrometheusRegistry
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.async
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.BeforeEach
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Timeout
import kotlin.test.Test
import kotlin.test.assertEquals

private const val HANG_SECONDS = 60L

@Timeout(HANG_SECONDS)
class AgentProgramTest {
    @Nested
    inner class `an agent between an entry and a target` {
        private val entry = FakeEntry()
        private val targetAddress = freeAddress()
        private val agentAddress = freeAddress()
        private val release = CompletableDeferred<Unit>()
        private val held = CompletableDeferred<Unit>()
        private val target =
            httpServer(targetAddress, Ready, PrometheusRegistry()) {
                post("/run") {
                    val request = call.receive<TargetCall>()
                    if (request.payload == "held") {
                        held.complete(Unit)
                        release.await()
                    }
                    call.respond(TargetAnswer(request.submission, request.task, request.attempt, request.payload))
                }
            }
        private val settings =
            AgentSettings(
                agent = AgentId("a1"),
                site = SiteId("s1"),
                zone = ZoneId("z1"),
                listen = agentAddress,
                entries = listOf(entry.address),
                announcementLifeMillis = 60_000,
            )
        private val agent = AgentProgram(settings)

        @BeforeEach
        fun start() {
            target.start()
            agent.start()
            runBlocking {
                httpLink().use { client ->
                    client.post("http://$agentAddress/v1/target") {
                        contentType(ContentType.Application.Json)
                        setBody(TargetAnnouncement(TargetId("t1"), ServiceId("render"), targetAddress))
                    }
                }
            }
        }

        @AfterEach
        fun stop() {
            agent.stop()
            entry.close()
            target.stop(0, 0)
        }

        @Test
        fun `runs each task and reports what the target answered`() =
            runBlocking {
                val payloads = (1..20).map { "payload-$it" }
                offer(payloads)
                val outcomes = List(payloads.size) { entry.outcomes.receive() }
                assertEquals(setOf(TaskStatus.DONE), outcomes.map { it.status }.toSet())
                assertEquals(payloads.toSet(), outcomes.map { it.result }.toSet())
            }

        @Test
        fun `runs a task for which a credit was granted long before`() =
            runBlocking {
                entry.granted.receive()
                offer(listOf("late"))
                assertEquals("late", entry.outcomes.receive().result)
            }

        @Test
        fun `carries a large payload whole`() =
            runBlocking {
                val payload = "x".repeat(2_000_000)
                offer(listOf(payload))
                assertEquals(payload, entry.outcomes.receive().result)
            }

        @Test
        fun `finishes a running task before it leaves`() =
            runBlocking {
                offer(listOf("held"))
                held.await()
                val stopped = async(Dispatchers.IO) { agent.stop() }
                entry.leaving.receive()
                release.complete(Unit)
                assertEquals(TaskStatus.DONE, entry.outcomes.receive().status)
                stopped.await()
            }

        private fun offer(payloads: List<String>) {
            synchronized(entry.payloads) { entry.payloads += payloads }
        }
    }
}
