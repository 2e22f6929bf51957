package io.bluebellramp.bench.trial

import kotlin.time.Duration
import kotlin.time.Duration.Companion.microseconds
import kotlin.time.Duration.Companion.milliseconds

/**
 * The machines of a site.
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

    /** Slots of all executors. */
    val allSlots: Int get() = executors * slots

    /** The zone of the machine number [index]. Entries and executors go round the zones. */
    fun zoneOf(index: Int): Int = index % zones

    /** One-way delay between the entry and the executor of these numbers. */
    fun delay(
        entry: Int,
        executor: Int,
    ): Duration = if (zoneOf(entry) == zoneOf(executor)) withinZone else betweenZones
}
