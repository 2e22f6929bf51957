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
 * What stand-in agents are.
 *
 * @property slots slots of each agent in the configuration of the service
 * @property sleeps whether tasks take the time that their payload tells
 */
internal data class StandInSettings(
    val count: Int,
    val entries: List<Address>,
    val slots: Int,
    val zones: List<ZoneId>,
    val service: ServiceId,
    val site: SiteId,
    val sleeps: Boolean,
)

/** Many agents in one process, spread over the zones in turn, each with a [VirtualTarget]. */
internal class StandInAgents(
    private val settings: StandInSettings,
    client: HttpClient,
    clock: Clock,
) {
    /** What the targets counted. */
    val counts = StartCounts()
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
    private val shared = EmbeddedAgentContext(client, scope, clock)
    private val targets = List(settings.count) { VirtualTarget(counts, settings.slots, settings.sleeps) }
    private val agents = targets.mapIndexed(::agent)

    /** Agents that may start tasks. */
    val permitted: Int get() = agents.count { it.hasValidPermit }

    /** Tasks that run. */
    val running: Int get() = targets.sumOf { it.running }

    /** Tasks that started while all slots of their agent were taken. */
    val startedAboveSlots: Int get() = targets.sumOf { it.startedAboveSlots }

    /** Starts the agents, a few at a time so that the entries are not flooded with handshakes. */
    suspend fun start() {
        agents.forEach {
            it.start()
            delay(START_GAP)
        }
    }

    /** Stops all agents after the tasks that run, which may take up to [longest]. */
    suspend fun stop(longest: Duration) {
        coroutineScope { agents.forEach { launch { it.shutDown(longest) } } }
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
            target = TargetAnnouncement(TargetId("virtual-$number"), settings.service, NO_ADDRESS),
            entries = settings.entries,
            shared = shared,
            runner = target,
        )
    }

    private companion object {
        val START_GAP = 5.milliseconds

        /** Nobody dials a virtual target. */
        val NO_ADDRESS = Address("127.0.0.1:1")
    }
}
