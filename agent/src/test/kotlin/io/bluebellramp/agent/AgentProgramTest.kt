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
import io.bluebellramp.runtime.createHttpClient
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

private const val TEST_TIMEOUT_SECONDS = 60L

@Timeout(TEST_TIMEOUT_SECONDS)
class AgentProgramTest {
    @Nested
    inner class `an agent between an entry and a target` {
        private val entry = FakeEntry()
        private val targetAddress = freeAddress()
        private val agentAddress = freeAddress()
        private val releaseHeldTask = CompletableDeferred<Unit>()
        private val heldTaskStarted = CompletableDeferred<Unit>()
        private val target =
            httpServer(targetAddress, AlwaysReady, PrometheusRegistry()) {
                post("/run") {
                    val request = call.receive<TargetCall>()
                    if (request.payload == "held") {
                        heldTaskStarted.complete(Unit)
                        releaseHeldTask.await()
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
                createHttpClient().use { client ->
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
                enqueue(payloads)
                val outcomes = List(payloads.size) { entry.outcomes.receive() }
                assertEquals(setOf(TaskStatus.DONE), outcomes.map { it.status }.toSet())
                assertEquals(payloads.toSet(), outcomes.map { it.result }.toSet())
            }

        @Test
        fun `runs a task on a credit that was granted before the task arrived`() =
            runBlocking {
                entry.creditsReceived.receive()
                enqueue(listOf("late"))
                assertEquals("late", entry.outcomes.receive().result)
            }

        @Test
        fun `transfers a large payload completely`() =
            runBlocking {
                val payload = "x".repeat(2_000_000)
                enqueue(listOf(payload))
                assertEquals(payload, entry.outcomes.receive().result)
            }

        @Test
        fun `finishes a running task before it stops`() =
            runBlocking {
                enqueue(listOf("held"))
                heldTaskStarted.await()
                val stopped = async(Dispatchers.IO) { agent.stop() }
                entry.leaving.receive()
                releaseHeldTask.complete(Unit)
                assertEquals(TaskStatus.DONE, entry.outcomes.receive().status)
                stopped.await()
            }

        private fun enqueue(payloads: List<String>) {
            synchronized(entry.payloads) { entry.payloads += payloads }
        }
    }
}
