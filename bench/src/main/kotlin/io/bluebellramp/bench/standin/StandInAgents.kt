package io.bluebellramp.bench.standin

import io.bluebellramp.agent.EmbeddedAgent
import io.bluebellramp.agent.EmbeddedAgentContext
import io.bluebellramp.core.Address
import io.bluebellramp.core.AgentId
import io.bluebellramp.core.Clock
import io.bluebellramp.core.IncarnationId
import io.bluebellramp.core.ServiceId
import io.bluebellramp.core.SiteId
import io.bluebellramp.core.TargetId
import io.bluebellramp.core.ZoneId
import io.bluebellramp.messages.AgentHello
import io.bluebellramp.messages.TargetAnnouncement
import io.ktor.client.HttpClient
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Settings of the simulated agents.
 *
 * @property slots slots of each agent in the configuration of the service
 * @property executesSleeps whether tasks sleep for the time given in their payload
 */
internal data class StandInSettings(
    val count: Int,
    val entries: List<Address>,
    val slots: Int,
    val zones: List<ZoneId>,
    val service: ServiceId,
    val site: SiteId,
    val executesSleeps: Boolean,
)

/** Runs many agents in one process, each with a [VirtualTarget]. Agents are assigned to the zones round-robin. */
internal class StandInAgents(
    private val settings: StandInSettings,
    client: HttpClient,
    clock: Clock,
) {
    /** Starts counted by all targets. */
    val counts = StartCounts()
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
    private val shared = EmbeddedAgentContext(client, scope, clock)
    private val targets = List(settings.count) { VirtualTarget(counts, settings.slots, settings.executesSleeps) }
    private val agents = targets.mapIndexed(::agent)

    /** Number of agents with a valid permit. */
    val permitted: Int get() = agents.count { it.hasValidPermit }

    /** Number of running tasks. */
    val running: Int get() = targets.sumOf { it.running }

    /** Number of tasks that started while all slots of their agent were in use. */
    val startedAboveSlots: Int get() = targets.sumOf { it.startedAboveSlots }

    /** Starts the agents one after another, [START_INTERVAL] apart, so that the entries are not flooded with handshakes. */
    suspend fun start() {
        agents.forEach {
            it.start()
            delay(START_INTERVAL)
        }
    }

    /** Stops all agents after their running tasks have ended, which may take up to [timeout]. */
    suspend fun stop(timeout: Duration) {
        coroutineScope { agents.forEach { launch { it.shutDown(timeout) } } }
        scope.cancel()
    }

    private fun agent(
        index: Int,
        target: VirtualTarget,
    ): EmbeddedAgent {
        val number = index + 1
        val zone = settings.zones[index % settings.zones.size]
        return EmbeddedAgent(
            hello = AgentHello(AgentId("stand-in-$number"), IncarnationId.create(), settings.site, zone),
            target = TargetAnnouncement(TargetId("virtual-$number"), settings.service, UNUSED_ADDRESS),
            entries = settings.entries,
            shared = shared,
            runner = target,
        )
    }

    private companion object {
        val START_INTERVAL = 5.milliseconds

        /** Placeholder: nothing connects to a virtual target. */
        val UNUSED_ADDRESS = Address("127.0.0.1:1")
    }
}
