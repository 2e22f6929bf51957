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

/** Validates a changed configuration: the base file, each site's merged configuration, and the zones and targets in the change. */
internal object ConfigurationValidator {
    private const val SCHEMA_TYPE = "Configuration"
    private val plainNamePattern = Regex("^[A-Za-z_][A-Za-z0-9_]*$")
    private val idPattern = Regex("^[a-z0-9][a-z0-9.-]{0,62}$")

    /** Returns all violations in [next], the result of applying [request] to [old], with JSON paths into the request. */
    fun violations(
        request: ChangeRequest,
        old: ConfigurationView,
        next: ConfigurationView,
    ): List<Violation> {
        val baseViolations = SchemaValidator.violations(next.base.toString(), SCHEMA_TYPE)
        val violationsInBase = baseViolations.map { it.withPathPrefix("$.base") }
        val violationsInOverlays = next.overlays.flatMap { (site, overlay) -> mergedViolations(next.base, site, overlay, baseViolations) }
        if (baseViolations.isNotEmpty()) return violationsInBase + violationsInOverlays
        val configuration = StrictJson.decodeFromJsonElement<Configuration>(next.base)
        return violationsInOverlays + configuration.idViolations() + next.overlayViolations(configuration) +
            configuration.zoneViolations() + request.outOfServiceViolations(old, next, configuration)
    }

    private fun mergedViolations(
        base: JsonObject,
        site: String,
        overlay: JsonObject,
        known: List<Violation>,
    ): List<Violation> {
        val found = SchemaValidator.violations(mergePatch(base, overlay).toString(), SCHEMA_TYPE)
        return found.filter { it !in known }.map { it.withPathPrefix("$.overlays${pathStep(site)}") }
    }

    private fun Configuration.idViolations(): List<Violation> =
        invalidIds("services", services.keys) + invalidIds("teams", teams.keys) + invalidIds("sites", sites.keys)

    private fun invalidIds(
        name: String,
        ids: Set<String>,
    ): List<Violation> =
        ids
            .filterNot {
                idPattern.matches(
                    it,
                )
            }.map { Violation(path = "$.base.$name${pathStep(it)}", message = "is not an id: it must match ${idPattern.pattern}") }

    private fun ConfigurationView.overlayViolations(configuration: Configuration): List<Violation> {
        val unknown = overlays.keys.filter { it !in configuration.sites }
        val withSites = overlays.filterValues { "sites" in it }.keys
        return unknown.map { Violation(path = "$.overlays${pathStep(it)}", message = "the base file has no site $it") } +
            withSites.map { Violation(path = "$.overlays${pathStep(it)}.sites", message = "an overlay cannot change sites") }
    }

    private fun Configuration.zoneViolations(): List<Violation> {
        val seen = mutableSetOf<ZoneId>()
        return sites.flatMap { (name, site) ->
            site.zones.mapIndexedNotNull { index, zone ->
                val path = "$.base.sites${pathStep(name)}.zones[$index]"
                if (seen.add(zone)) null else Violation(path = path, message = "zone $zone is listed twice")
            }
        }
    }

    private fun ChangeRequest.outOfServiceViolations(
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
            inBothLists("zonesIn", zonesOut, zonesIn) + inBothLists("targetsIn", targetsOut, targetsIn) +
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

    private fun <T> inBothLists(
        name: String,
        takenOut: List<T>,
        returned: List<T>,
    ): List<Violation> =
        returned.mapIndexedNotNull { index, it ->
            if (it in takenOut) Violation(path = "$.$name[$index]", message = "$it is also taken out by this change") else null
        }

    /** Returns the JSON path segment for the key [name]. */
    private fun pathStep(name: String) = if (plainNamePattern.matches(name)) ".$name" else "['$name']"

    private fun Violation.withPathPrefix(prefix: String) = copy(path = prefix + path.removePrefix("$"))
}
