package io.bluebellramp.runtime

import io.bluebellramp.core.WireJson
import io.ktor.client.HttpClient
import io.ktor.client.HttpClientConfig
import io.ktor.client.engine.java.Java
import io.ktor.client.plugins.HttpTimeout
import io.ktor.client.plugins.contentnegotiation.ContentNegotiation
import io.ktor.client.plugins.defaultRequest
import io.ktor.client.plugins.websocket.WebSockets
import io.ktor.client.request.header
import io.ktor.http.HttpHeaders
import io.ktor.serialization.kotlinx.json.json
import java.net.http.HttpClient.Version
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Returns an HTTP client for calls between processes. It reuses connections and never retries a request by itself.
 *
 * Use POST for requests that must not be repeated.
 *
 * @param key sent with every request if not null
 * @param timeout limit on the duration of a whole request; null for no limit, for long-polling calls
 */
fun createHttpClient(
    key: SharedKey? = null,
    connectTimeout: Duration = 1.seconds,
    timeout: Duration? = null,
): HttpClient =
    HttpClient(Java) {
        engine { protocolVersion = Version.HTTP_1_1 }
        configureHttpClient(key, connectTimeout, timeout)
    }

/** Configures JSON bodies, WebSockets, timeouts and the key of a client with any engine. See [createHttpClient] for the parameters. */
fun HttpClientConfig<*>.configureHttpClient(
    key: SharedKey?,
    connectTimeout: Duration,
    timeout: Duration?,
) {
    expectSuccess = false
    install(ContentNegotiation) { json(WireJson) }
    install(WebSockets)
    install(HttpTimeout) {
        connectTimeoutMillis = connectTimeout.inWholeMilliseconds
        requestTimeoutMillis = timeout?.inWholeMilliseconds
    }
    if (key != null) defaultRequest { header(HttpHeaders.Authorization, key.header) }
}
