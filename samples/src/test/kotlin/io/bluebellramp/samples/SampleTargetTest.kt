package io.bluebellramp.samples

import io.bluebellramp.core.Address
import io.bluebellramp.core.ServiceId
import io.bluebellramp.core.SubmissionId
import io.bluebellramp.core.TargetId
import io.bluebellramp.messages.DispatchKind
import io.bluebellramp.messages.SampleTargetSettings
import io.bluebellramp.messages.TargetAnnouncement
import io.bluebellramp.messages.TargetAnswer
import io.bluebellramp.messages.TargetCall
import io.bluebellramp.runtime.Health
import io.bluebellramp.runtime.createHttpClient
import io.bluebellramp.runtime.httpServer
import io.ktor.client.call.body
import io.ktor.client.request.post
import io.ktor.client.request.setBody
import io.ktor.client.statement.HttpResponse
import io.ktor.http.ContentType
import io.ktor.http.HttpStatusCode
import io.ktor.http.contentType
import io.ktor.server.request.receive
import io.ktor.server.response.respond
import io.ktor.server.routing.delete
import io.ktor.server.routing.post
import io.prometheus.metrics.model.registry.PrometheusRegistry
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.BeforeEach
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.io.TempDir
import java.io.IOException
import java.net.ServerSocket
import java.nio.file.Files
import java.nio.file.Path
import java.time.Instant
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFailsWith
import kotlin.time.Duration.Companion.milliseconds

class SampleTargetTest {
    @Nested
    inner class `A payload` {
        @Test
        fun `is parsed into commands`() {
            val cases =
                mapOf(
                    "sleep:120;echo:hello" to listOf(PayloadCommand.Sleep(120.milliseconds), PayloadCommand.Echo("hello")),
                    "fail" to listOf(PayloadCommand.Fail(0.milliseconds)),
                    "fail:120" to listOf(PayloadCommand.Fail(120.milliseconds)),
                    "cut" to listOf(PayloadCommand.CloseConnection),
                    "crossed" to listOf(PayloadCommand.MismatchedAnswer),
                    "sleep:x" to listOf(PayloadCommand.Echo("sleep:x")),
                    "anything" to listOf(PayloadCommand.Echo("anything")),
                )
            cases.forEach { (payload, commands) -> assertEquals(commands, PayloadCommand.parse(payload), payload) }
        }
    }

    @Nested
    inner class `A running target` {
        @TempDir
        lateinit var folder: Path
        private val announcements = Channel<TargetAnnouncement?>(Channel.UNLIMITED)
        private val agent = Address("127.0.0.1:${freePort()}")
        private val listen = Address("127.0.0.1:${freePort()}")
        private val fakeAgent =
            httpServer(agent, AlwaysReady, PrometheusRegistry()) {
                post("/v1/target") {
                    announcements.send(call.receive())
                    call.respond(HttpStatusCode.OK)
                }
                delete("/v1/target") {
                    announcements.send(null)
                    call.respond(HttpStatusCode.OK)
                }
            }
        private val client = createHttpClient()
        private var target: SampleTarget? = null

        @BeforeEach
        fun start() {
            fakeAgent.start()
            val starts = folder.resolve("starts").toString()
            val settings = SampleTargetSettings(TargetId("t1"), ServiceId("render"), listen, agent, starts)
            target = SampleTarget(settings).also { it.start() }
        }

        @AfterEach
        fun stop() {
            stopTarget()
            fakeAgent.stop(0, 0)
            client.close()
        }

        @Test
        fun `answers with the ids of the call and records its start`() =
            runBlocking {
                val call = call("sleep:1;echo:hello")
                val answer = post(call).body<TargetAnswer>()
                assertEquals(TargetAnswer(call.submission, call.task, call.attempt, "hello"), answer)
                val fields = Files.readString(folder.resolve("starts")).trim().split(' ')
                assertEquals(listOf(call.submission.value, "3", "1", "task"), fields.take(4))
            }

        @Test
        fun `answers a fail command with status 500`() =
            runBlocking {
                assertEquals(HttpStatusCode.InternalServerError, post(call("fail:1")).status)
            }

        @Test
        fun `answers a crossed command with the number of another task`() =
            runBlocking {
                assertEquals(4, post(call("crossed")).body<TargetAnswer>().task)
            }

        @Test
        fun `closes the connection without an answer on a cut command`() {
            runBlocking {
                assertFailsWith<IOException> { post(call("cut")) }
            }
        }

        @Test
        fun `announces itself and withdraws the announcement when it stops`() =
            runBlocking {
                assertEquals(TargetAnnouncement(TargetId("t1"), ServiceId("render"), listen), announcements.receive())
                stopTarget()
                while (announcements.receive() != null) continue
            }

        private fun stopTarget() {
            target?.stop()
            target = null
        }

        private fun call(payload: String) =
            TargetCall(SubmissionId.create(Instant.now()), task = 3, attempt = 1, kind = DispatchKind.TASK, payload = payload)

        private suspend fun post(call: TargetCall): HttpResponse =
            client.post("http://$listen/run") {
                contentType(ContentType.Application.Json)
                setBody(call)
            }
    }

    private object AlwaysReady : Health {
        override fun isReady() = true
    }

    private fun freePort() = ServerSocket(0).use { it.localPort }
}
