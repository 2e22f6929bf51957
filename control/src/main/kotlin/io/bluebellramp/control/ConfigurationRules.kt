package io.bluebellramp.control

import io.bluebellramp.core.StrictJson
import io.bluebellramp.core.ZoneId
import io.bluebellramp.core.mergePatch
import io.bluebellramp.messages.ChangeRequest
import io.bluebellramp.messages.Configuration
import io.bluebellramp.messages.ConfigurationView
import io.bluebellramp.messages.Violation
import io.bluebellramp.runtime.SchemaValidator
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.decodeFromJsonElement

/** Checks a configuration as a whole: the base file, each site's merged result, and what zones a change names. */
internal object ConfigurationRules {
    private const val TYPE = "Configuration"
    private val plainName = Regex("^[A-Za-z_][A-Za-z0-9_]*$")
    private val id = Regex("^[a-z0-9][a-z0-9.-]{0,62}$")

    /** Returns every violation of [next], which [request] makes of [old], with JSON paths into the request. */
    fun violations(
        request: ChangeRequest,
        old: ConfigurationView,
        next: ConfigurationView,
    ): List<Violation> {
        val base = SchemaValidator.violations(next.base.toString(), TYPE)
        val placed = base.map { it.under("$.base") }
        val merged = next.overlays.flatMap { (site, overlay) -> mergedViolations(next.base, site, overlay, base) }
        if (base.isNotEmpty()) return placed + merged
        val configuration = StrictJson.decodeFromJsonElement<Configuration>(next.base)
        return merged + configuration.idViolations() + next.overlayViolations(configuration) +
            configuration.zoneViolations() + request.serviceViolations(old, next, configuration)
    }

    private fun mergedViolations(
        base: JsonObject,
        site: String,
        overlay: JsonObject,
        known: List<Violation>,
    ): List<Violation> {
        val found = SchemaValidator.violations(mergePatch(base, overlay).toString(), TYPE)
        return found.filter { it !in known }.map { it.under("$.overlays${step(site)}") }
    }

    private fun Configuration.idViolations(): List<Violation> =
        badIds("services", services.keys) + badIds("teams", teams.keys) + badIds("sites", sites.keys)

    private fun badIds(
        name: String,
        ids: Set<String>,
    ): List<Violation> =
        ids
            .filterNot {
                id.matches(
                    it,
                )
            }.map { Violation(path = "$.base.$name${step(it)}", message = "is not an id: it must match ${id.pattern}") }

    private fun ConfigurationView.overlayViolations(configuration: Configuration): List<Violation> {
        val unknown = overlays.keys.filter { it !in configuration.sites }
        val moved = overlays.filterValues { "sites" in it }.keys
        return unknown.map { Violation(path = "$.overlays${step(it)}", message = "the base file has no site $it") } +
            moved.map { Violation(path = "$.overlays${step(it)}.sites", message = "an overlay cannot change sites") }
    }

    private fun Configuration.zoneViolations(): List<Violation> {
        val seen = mutableSetOf<ZoneId>()
        return sites.flatMap { (name, site) ->
            site.zones.mapIndexedNotNull { index, zone ->
                val path = "$.base.sites${step(name)}.zones[$index]"
                if (seen.add(zone)) null else Violation(path = path, message = "zone $zone is listed twice")
            }
        }
    }

    private fun ChangeRequest.serviceViolations(
        old: ConfigurationView,
        next: ConfigurationView,
        configuration: Configuration,
    ): List<Violation> {
        val known =
            configuration.sites.values
                .flatMap { it.zones }
                .toSet()
        val removed = next.zonesOut.filter { it !in known && it !in zonesOut }
        return unknownZones(
            "zonesOut",
            zonesOut,
            known,
        ) + unknownZones("zonesIn", zonesIn, known + old.zonesOut) +
            both("zonesIn", zonesOut, zonesIn) + both("targetsIn", targetsOut, targetsIn) +
            removed.map {
                Violation(
                    path = "$.base.sites",
                    message = "zone $it is out of service and no site has it; return it in the same change",
                )
            }
    }

    private fun unknownZones(
        name: String,
        zones: List<ZoneId>,
        known: Set<ZoneId>,
    ): List<Violation> =
        zones.mapIndexedNotNull { index, zone ->
            if (zone in known) null else Violation(path = "$.$name[$index]", message = "no site has a zone $zone")
        }

    private fun <T> both(
        name: String,
        out: List<T>,
        back: List<T>,
    ): List<Violation> =
        back.mapIndexedNotNull { index, it ->
            if (it in out) Violation(path = "$.$name[$index]", message = "$it is also taken out by this change") else null
        }

    /** Returns the step of a JSON path to the member [name]. */
    private fun step(name: String) = if (plainName.matches(name)) ".$name" else "['$name']"

    private fun Violation.under(prefix: String) = copy(path = prefix + path.removePrefix("$"))
}
