package io.bluebellramp.cli

import io.bluebellramp.core.TargetId
import io.bluebellramp.core.ZoneId
import io.bluebellramp.messages.ChangeRequest
import io.bluebellramp.messages.ConfigurationView
import kotlinx.cli.ArgParser
import kotlinx.cli.ArgType
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive

/**
 * Whether a zone or target is in service.
 *
 * @property commandWord the last word of the command that sets this state
 */
internal enum class AvailabilityState(
    val commandWord: String,
) {
    OUT_OF_SERVICE("out"),
    IN_SERVICE("in"),
    ;

    /** Returns the summary of the command that sets this state for [resource]. */
    fun summary(resource: String) = if (this == OUT_OF_SERVICE) "Take $resource out of service" else "Return $resource to service"
}

private const val ZONE = "an availability zone"
private const val TARGET = "a target"

/** Prints the availability zones and whether each is in service. */
internal class ZoneListCommand : Command(name = "zone list", summary = "Print the availability zones and their state") {
    override fun declareArguments(parser: ArgParser) =
        printAction(ConfigurationView.serializer(), { it.control.configuration() }) { it.formatZones() }

    private fun ConfigurationView.formatZones(): String =
        (base["sites"] as? JsonObject)
            .orEmpty()
            .flatMap { (site, definition) -> zonesOf(definition as? JsonObject).map { it to site } }
            .joinToString("\n") { (zone, site) -> "$zone  $site  ${if (ZoneId(zone) in zonesOut) "out" else "in"}" }

    private fun zonesOf(site: JsonObject?): List<String> =
        (site?.get("zones") as? JsonArray).orEmpty().map { (it as JsonPrimitive).content }
}

/** Prints the targets that are out of service. */
internal class TargetListCommand : Command(name = "target list", summary = "Print the targets that are out of service") {
    override fun declareArguments(parser: ArgParser) =
        printAction(
            ConfigurationView.serializer(),
            { it.control.configuration() },
        ) { it.targetsOut.joinToString("\n").ifEmpty { "none is out" } }
}

/**
 * Takes a zone or target out of service or returns it to service.
 *
 * @param resourceType the first word of the command, `zone` or `target`
 * @param resource the kind of resource with its article, for help texts
 * @param newState the state that the command sets
 * @param addToChange returns the change with the id of the resource added
 */
internal class SetAvailabilityCommand(
    private val resourceType: String,
    private val resource: String,
    newState: AvailabilityState,
    private val addToChange: ChangeRequest.(id: String) -> ChangeRequest,
) : Command(name = "$resourceType ${newState.commandWord}", summary = newState.summary(resource)) {
    override fun declareArguments(parser: ArgParser): CommandAction {
        val id by parser.argument(ArgType.String, fullName = resourceType, description = "Id of $resource")
        val options = ChangeOptions(parser)
        return CommandAction { session -> applyChange(session, options) { it.addToChange(id) } }
    }
}

/** The commands that take availability zones and targets out of service and return them. */
internal val availabilityCommands =
    listOf(
        SetAvailabilityCommand("zone", ZONE, AvailabilityState.OUT_OF_SERVICE) { copy(zonesOut = listOf(ZoneId(it))) },
        SetAvailabilityCommand("zone", ZONE, AvailabilityState.IN_SERVICE) { copy(zonesIn = listOf(ZoneId(it))) },
        SetAvailabilityCommand("target", TARGET, AvailabilityState.OUT_OF_SERVICE) { copy(targetsOut = listOf(TargetId(it))) },
        SetAvailabilityCommand("target", TARGET, AvailabilityState.IN_SERVICE) { copy(targetsIn = listOf(TargetId(it))) },
    )
