package io.bluebellramp.bench.jobs

/** Which agents connect to which entries. The names are values of an option. */
internal enum class LinkLayout {
    /** Every agent connects to every entry. */
    ALL,

    /** Every agent connects to its subset of the entries, as in the product. */
    SUBSETS,
}

/**
 * Messages between entries and agents during a trial. Heartbeats without content are not counted: each side sends one at least every
 * heartbeat period.
 *
 * @property links number of links
 * @property reports frames from agents to entries
 * @property dispatches frames from entries to agents
 * @property betweenZones frames of both kinds between different zones
 */
internal data class LinkTraffic(
    val links: Int = 0,
    val reports: Long = 0,
    val dispatches: Long = 0,
    val betweenZones: Long = 0,
) {
    operator fun plus(other: LinkTraffic) =
        LinkTraffic(
            links + other.links,
            reports + other.reports,
            dispatches + other.dispatches,
            betweenZones + other.betweenZones,
        )

    /** Returns one line with the means for one entry and one agent of [model], over [trials] trials. */
    fun summary(
        model: SiteModel,
        trials: Int,
    ): String {
        val seconds = trials * (JobsTrial.START_UP_TIME + model.length).inWholeMilliseconds / MILLIS_PER_SECOND
        val perEntry = 1 / (seconds * model.entries.size)
        val perAgent = 1 / (seconds * model.targets.size)
        return "links %d; frames/s: entry %.0f in, %.0f out; agent %.0f in, %.0f out; %.0f between zones".format(
            links / trials,
            reports * perEntry,
            dispatches * perEntry,
            dispatches * perAgent,
            reports * perAgent,
            betweenZones / seconds,
        )
    }

    private companion object {
        const val MILLIS_PER_SECOND = 1000.0
    }
}
