package io.bluebellramp.control

import io.bluebellramp.core.Address
import io.bluebellramp.messages.ControlSettings
import io.bluebellramp.runtime.SharedKey
import io.bluebellramp.runtime.configureLink
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

/** Open calls of one link; far above what the log, forwarded calls and copies need. */
private const val MOST_CALLS = 1024

/** Where other processes reach this one. */
internal val ControlSettings.address: Address get() = advertised ?: listen

/** Returns a link to other members that sends from where these settings say. */
internal fun ControlSettings.memberLink(
    key: SharedKey?,
    connectTimeout: Duration = 1.seconds,
    timeout: Duration,
): HttpClient = boundLink(listen.host.takeIf { bindOutgoing }, key, connectTimeout, timeout)

/**
 * Returns a link like that of the runtime which takes less processor time, and whose connections come from the IP number [host] unless it is
 * null. The JDK's client cannot choose its address before JDK 19.
 */
internal fun boundLink(
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
                        maxRequests = MOST_CALLS
                        maxRequestsPerHost = MOST_CALLS
                    },
                )
                // The client's own time limit starts a coroutine and a timer for each request.
                timeout?.let { callTimeout(it.toJavaDuration()) }
                // The time limit of the whole request bounds these.
                readTimeout(0, TimeUnit.MILLISECONDS)
                writeTimeout(0, TimeUnit.MILLISECONDS)
            }
        }
        configureLink(key, connectTimeout, timeout = null)
    }

/** Makes sockets that are bound to [local]. */
private class BoundSocketFactory(
    private val local: InetAddress,
) : SocketFactory() {
    override fun createSocket(): Socket = Socket().apply { bind(InetSocketAddress(local, 0)) }

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
