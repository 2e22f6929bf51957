package io.bluebellramp.runtime

import io.bluebellramp.core.Address
import io.ktor.client.request.get
import io.ktor.client.request.header
import io.ktor.client.request.post
import io.ktor.client.request.setBody
import io.ktor.client.statement.bodyAsText
import io.ktor.http.HttpHeaders
import io.ktor.http.HttpStatusCode
import io.ktor.server.request.receiveText
import io.ktor.server.response.respondText
import io.ktor.server.routing.get
import io.ktor.server.routing.post
import io.prometheus.metrics.core.metrics.Counter
import io.prometheus.metrics.model.registry.PrometheusRegistry
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.Nested
import java.net.ServerSocket
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds

private val RESPONSE_DELAY = 11_000.milliseconds

class HttpServerTest {
    private val registry = PrometheusRegistry()
    private val notReady =
        object : Health {
            override fun isReady() = false
        }

    private fun <T> withServer(
        key: SharedKey? = null,
        block: suspend (String) -> T,
    ): T {
        val port = ServerSocket(0).use { it.localPort }
        val server =
            httpServer(Address("127.0.0.1:$port"), notReady, registry, key) {
                get("/quick") { call.respondText("answer") }
                get("/held") {
                    delay(RESPONSE_DELAY)
                    call.respondText("answer")
                }
                post("/held") {
                    val text = call.receiveText()
                    delay(RESPONSE_DELAY)
                    call.respondText(text)
                }
            }
        server.start(wait = false)
        return try {
            runBlocking { block("http://127.0.0.1:$port") }
        } finally {
            server.stop(0, 0)
        }
    }

    @Nested
    inner class `A call whose response is delayed` {
        @Test
        fun `receives its response`() =
            withServer { url ->
                createHttpClient().use { http ->
                    coroutineScope {
                        val get = async { http.get("$url/held") }
                        val post = async { http.post("$url/held") { setBody("body") } }
                        val answers = listOf(get, post).awaitAll()
                        assertEquals(listOf("answer", "body"), answers.map { it.bodyAsText() })
                    }
                }
            }
    }

    @Nested
    inner class `A server` {
        @Test
        fun `serves health and metrics`() {
            Counter
                .builder()
                .name("answers")
                .register(registry)
                .inc()
            withServer { url ->
                createHttpClient().use { http ->
                    assertEquals(HttpStatusCode.OK, http.get("$url/live").status)
                    assertEquals(HttpStatusCode.ServiceUnavailable, http.get("$url/ready").status)
                    assertTrue("answers_total 1.0" in http.get("$url/metrics").bodyAsText())
                }
            }
        }

        @Test
        fun `with a key rejects calls without it, but serves its health`() =
            withServer(SharedKey("0123456789abcdef")) { url ->
                createHttpClient().use { http ->
                    assertEquals(HttpStatusCode.Unauthorized, http.get("$url/quick").status)
                    assertEquals(
                        HttpStatusCode.OK,
                        http.get("$url/quick") { header(HttpHeaders.Authorization, "Bearer 0123456789abcdef") }.status,
                    )
                    assertEquals(HttpStatusCode.OK, http.get("$url/live").status)
                }
            }
    }
}
