package io.bluebellramp.control

import io.bluebellramp.core.Address
import io.bluebellramp.messages.ControlSettings
import io.bluebellramp.runtime.SharedKey
import io.bluebellramp.runtime.configureHttpClient
import io.ktor.client.HttpClient
import io.ktor.client.engine.okhttp.OkHttp
import okhttp3.Dispatcher
import okhttp3.Protocol
import java.net.InetAddress
import java.net.InetSocketAddress
import java.net.Socket
import java.util.concurrent.TimeUnit
import javax.net.SocketFactory
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.toJavaDuration

/** Concurrent calls of one client; far more than log replication, forwarded calls and copies of claims need. */
private const val MAX_CONCURRENT_CALLS = 1024

/** The address at which other processes reach this one. */
internal val ControlSettings.address: Address get() = advertised ?: listen

/** Returns an HTTP client for calls to other members, bound to the listen address if the settings ask for it. */
internal fun ControlSettings.memberHttpClient(
    key: SharedKey?,
    connectTimeout: Duration = 1.seconds,
    timeout: Duration,
): HttpClient = boundHttpClient(listen.host.takeIf { bindOutgoing }, key, connectTimeout, timeout)

/**
 * Returns an HTTP client whose connections originate from the IP address [host], unless it is null.
 *
 * It uses OkHttp because the JDK client costs more CPU time and cannot bind a local address before JDK 19.
 */
internal fun boundHttpClient(
    host: String?,
    key: SharedKey? = null,
    connectTimeout: Duration = 1.seconds,
    timeout: Duration? = null,
): HttpClient =
    HttpClient(OkHttp) {
        engine {
            config {
                if (host != null) socketFactory(BoundSocketFactory(InetAddress.getByName(host)))
                retryOnConnectionFailure(false)
                protocols(listOf(Protocol.HTTP_1_1))
                dispatcher(
                    Dispatcher().apply {
                        maxRequests = MAX_CONCURRENT_CALLS
                        maxRequestsPerHost = MAX_CONCURRENT_CALLS
                    },
                )
                // Ktor's own request timeout starts a coroutine and a timer for each request.
                timeout?.let { callTimeout(it.toJavaDuration()) }
                // The call timeout already limits reads and writes.
                readTimeout(0, TimeUnit.MILLISECONDS)
                writeTimeout(0, TimeUnit.MILLISECONDS)
            }
        }
        configureHttpClient(key, connectTimeout, timeout = null)
    }

/** Creates sockets that are bound to [sourceAddress]. */
private class BoundSocketFactory(
    private val sourceAddress: InetAddress,
) : SocketFactory() {
    override fun createSocket(): Socket = Socket().apply { bind(InetSocketAddress(sourceAddress, 0)) }

    override fun createSocket(
        host: String,
        port: Int,
    ): Socket = createSocket(InetAddress.getByName(host), port)

    override fun createSocket(
        host: InetAddress,
        port: Int,
    ): Socket = createSocket().apply { connect(InetSocketAddress(host, port)) }

    override fun createSocket(
        host: String,
        port: Int,
        localHost: InetAddress,
        localPort: Int,
    ): Socket = createSocket(InetAddress.getByName(host), port)

    override fun createSocket(
        host: InetAddress,
        port: Int,
        localHost: InetAddress,
        localPort: Int,
    ): Socket = createSocket(host, port)
}
