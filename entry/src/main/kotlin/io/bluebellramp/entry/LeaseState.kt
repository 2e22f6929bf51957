package io.bluebellramp.entry

import io.bluebellramp.core.IncarnationId
import io.bluebellramp.core.Revision
import io.bluebellramp.core.ServiceId
import io.bluebellramp.core.SiteId
import io.bluebellramp.core.TargetId
import io.bluebellramp.core.TeamId
import io.bluebellramp.core.WireJson
import io.bluebellramp.core.ZoneId
import io.bluebellramp.core.mergePatch
import io.bluebellramp.messages.ClaimMembers
import io.bluebellramp.messages.Configuration
import io.bluebellramp.messages.EntryPeer
import io.bluebellramp.messages.LeaseResponse
import io.bluebellramp.messages.Service
import io.bluebellramp.messages.Team
import kotlinx.serialization.SerializationException
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * The lease of this entry and the data that came with it: configuration, live entries and voting members. No I/O.
 *
 * The duration of a lease counts from the time when its request was sent. The revision never decreases.
 */
internal class LeaseState(
    private val site: SiteId,
) {
    private var expiresAt: Duration? = null
    private var configuration: Configuration? = null
    private var zonesOut = emptySet<ZoneId>()
    private var targetsOut = emptySet<TargetId>()
    private val absentSince = HashMap<IncarnationId, Duration>()

    /** The highest configuration revision seen. */
    var revision = Revision.ZERO
        private set

    /** The live entries of all sites. */
    var peers = emptyList<EntryPeer>()
        private set

    /** The voting members, or null before the first lease. */
    var members: ClaimMembers? = null
        private set

    /** True while the lease is valid and a configuration is known. */
    fun isLive(now: Duration): Boolean = configuration != null && remaining(now) > Duration.ZERO

    /** Time until the lease expires. */
    fun remaining(now: Duration): Duration = (expiresAt ?: now) - now

    /** Applies a response to the request that was sent at [sent]. Returns false if it grants no lease or its revision is outdated. */
    fun renew(
        response: LeaseResponse,
        sent: Duration,
    ): Boolean {
        val granted = response.revision ?: return false
        if (!response.granted || granted < revision) return false
        if (!applyConfiguration(response)) return false
        revision = granted
        val end = sent + response.lifeMillis.milliseconds
        expiresAt = maxOf(expiresAt ?: end, end)
        peers = response.entries
        response.members?.let { if (it.version >= (members?.version ?: 0)) members = it }
        peers.forEach { absentSince.remove(it.incarnation) }
        return true
    }

    private fun applyConfiguration(response: LeaseResponse): Boolean {
        val view = response.configuration ?: return configuration != null && response.revision == revision
        if (view.revision < revision) return false
        val overlay = view.overlays[site.value]
        val merged = if (overlay == null) view.base else mergePatch(view.base, overlay)
        configuration =
            try {
                WireJson.decodeFromJsonElement(Configuration.serializer(), merged)
            } catch (_: SerializationException) {
                return false
            }
        zonesOut = view.zonesOut.toSet()
        targetsOut = view.targetsOut.toSet()
        return true
    }

    /** The settings of [service] with the overlay of this site, or null if there is no such service. */
    fun service(service: ServiceId): Service? = configuration?.services?.get(service.value)

    /** The quota of [team], or null if it has none. */
    fun team(team: TeamId): Team? = configuration?.teams?.get(team.value)

    /** Number of entries over which a quota is split. */
    val liveEntries: Int get() = maxOf(1, peers.size)

    /** True unless the zone or the target is out of service. */
    fun isInService(
        zone: ZoneId,
        target: TargetId?,
    ): Boolean = zone !in zonesOut && (target == null || target !in targetsOut)

    /** Returns how long [incarnation] has been missing from the live entries, as observed by this entry. */
    fun absenceOf(
        incarnation: IncarnationId,
        now: Duration,
    ): Duration {
        if (!isLive(now) || peers.any { it.incarnation == incarnation }) {
            absentSince.remove(incarnation)
            return Duration.ZERO
        }
        return now - absentSince.getOrPut(incarnation) { now }
    }
}
