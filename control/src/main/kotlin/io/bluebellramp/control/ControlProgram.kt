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
import io.bluebellramp.messages.ClaimTable as ClaimTablePage

/**
 * A running control process: HTTP server, HTTP client for the other members, and copying of claims.
 *
 * @param closeLog stops the log and syncs it to disk; called after everything else has stopped
 */
class ControlProgram(
    settings: ControlSettings,
    key: SharedKey?,
    private val control: Control,
    registry: PrometheusRegistry,
    private val closeLog: () -> Unit,
) : RunningProgram {
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
    private val client: HttpClient = settings.memberHttpClient(key, timeout = CALL_TIMEOUT)
    private val server =
        httpServer(settings.listen, control, registry, key) {
            operatorRoutes(control, LeaderForwarder(control.log, client))
            entryRoutes(control)
            memberRoutes(control)
        }

    /** Starts the server and the background tasks. */
    fun start() {
        server.start(wait = false)
        scope.launch { control.leases.trackAcceptedRevisions() }
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
            delay(if (control.claims.isComplete()) MEMBERSHIP_CHECK_INTERVAL else COPY_RETRY_INTERVAL)
            control.claims.copyMissingClaims(::fetchClaims)
        }
    }

    private suspend fun fetchClaims(
        source: MemberAddress,
        copyRequirement: CopyRequirement,
        fromBucket: Long,
    ): ClaimTablePage? =
        try {
            val response = client.get("http://${source.address}/claims/table?need=${copyRequirement.name.lowercase()}&from=$fromBucket")
            if (response.status.isSuccess()) response.body<ClaimTablePage>() else null
        } catch (e: CancellationException) {
            throw e
        } catch (_: Exception) {
            // The copy is retried after any failure.
            null
        }

    private companion object {
        /** Longer than the wait of a forwarded call until its change is in force (3.3 s). */
        val CALL_TIMEOUT = 5.seconds

        /** How often a member with all claims checks whether the membership has changed. */
        val MEMBERSHIP_CHECK_INTERVAL = 500.milliseconds
        val COPY_RETRY_INTERVAL = 100.milliseconds
    }
}
