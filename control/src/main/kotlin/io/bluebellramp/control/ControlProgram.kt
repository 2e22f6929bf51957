package io.bluebellramp.control

import io.bluebellramp.messages.ControlSettings
import io.bluebellramp.messages.MemberAddress
import io.bluebellramp.runtime.RunningProgram
import io.bluebellramp.runtime.SharedKey
import io.bluebellramp.runtime.httpServer
import io.ktor.client.HttpClient
import io.ktor.client.call.body
import io.ktor.client.request.get
import io.ktor.http.isSuccess
import io.prometheus.metrics.model.registry.PrometheusRegistry
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import io.bluebellramp.messages.ClaimTable as ClaimCopy

/**
 * A control process that listens: HTTP server, links to the other members, and copies of claims.
 *
 * @param closeLog stops the log and syncs it; called once nothing else uses it
 */
class ControlProgram(
    settings: ControlSettings,
    key: SharedKey?,
    private val control: Control,
    registry: PrometheusRegistry,
    private val closeLog: () -> Unit,
) : RunningProgram {
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
    private val client: HttpClient = settings.memberLink(key, timeout = CALL_TIMEOUT)
    private val server =
        httpServer(settings.listen, control, registry, key) {
            operatorRoutes(control, LeaderForwarder(control.log, client))
            entryRoutes(control)
            memberRoutes(control)
        }

    /** Starts to listen. */
    fun start() {
        server.start(wait = false)
        scope.launch { control.leases.noteRevisions() }
        scope.launch { copyClaims() }
    }

    override fun stop() {
        server.stop(gracePeriodMillis = 0, timeoutMillis = CALL_TIMEOUT.inWholeMilliseconds)
        scope.cancel()
        closeLog()
        client.close()
    }

    private suspend fun copyClaims() {
        while (scope.isActive) {
            delay(if (control.claims.isWhole()) WATCH_PERIOD else COPY_PERIOD)
            control.claims.copyMissing(::fetch)
        }
    }

    private suspend fun fetch(
        from: MemberAddress,
        need: CopyNeed,
        group: Long,
    ): ClaimCopy? =
        try {
            val response = client.get("http://${from.address}/claims/table?need=${need.name.lowercase()}&from=$group")
            if (response.status.isSuccess()) response.body<ClaimCopy>() else null
        } catch (e: CancellationException) {
            throw e
        } catch (_: Exception) {
            // Whatever went wrong, no copy came; it is asked for again.
            null
        }

    private companion object {
        /** Longest time of a forwarded call; a little over the longest wait until a change is in force. */
        val CALL_TIMEOUT = 5.seconds

        /** How often a member that lacks no claims looks whether the members have changed. */
        val WATCH_PERIOD = 500.milliseconds
        val COPY_PERIOD = 100.milliseconds
    }
}
