package io.bluebellramp.bench.trial

import kotlin.time.Duration
import kotlin.time.Duration.Companion.microseconds
import kotlin.time.Duration.Companion.milliseconds

/**
 * Topology and network delays of a simulated site.
 *
 * @property betweenZones one-way delay between zones
 * @property toClients one-way delay to clients
 * @property withinZone one-way delay within a zone
 */
internal enum class TrialSite(
    val betweenZones: Duration,
    val toClients: Duration,
    val withinZone: Duration = 100.microseconds,
    val zones: Int = 3,
    val executors: Int = 11,
    val slots: Int = 8,
) {
    BREKKE(betweenZones = 500.microseconds, toClients = 1.milliseconds),
    OGUN(betweenZones = 1400.microseconds, toClients = 3.milliseconds),
    ;

    /** Number of slots of all executors. */
    val allSlots: Int get() = executors * slots

    /** Returns the zone of the entry or executor [index]. Both are assigned to the zones round-robin. */
    fun zoneOf(index: Int): Int = index % zones

    /** Returns the one-way delay between [entry] and [executor]. */
    fun delay(
        entry: Int,
        executor: Int,
    ): Duration = if (zoneOf(entry) == zoneOf(executor)) withinZone else betweenZones
}
