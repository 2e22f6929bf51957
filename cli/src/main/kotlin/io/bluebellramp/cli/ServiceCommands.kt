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

/** Whether something leaves or returns to service. */
internal enum class Direction(
    val word: String,
) {
    OUT("out"),
    IN("in"),
    ;

    /** What a command in this direction does with [what], in one line. */
    fun summary(what: String) = if (this == OUT) "Take $what out of service" else "Return $what to service"
}

private const val ZONE = "an availability zone"
private const val TARGET = "a target"

/** Prints the availability zones and whether each is in service. */
internal class ZoneListCommand : Command(name = "zone list", summary = "Print the availability zones and their state") {
    override fun declare(parser: ArgParser) = printing(ConfigurationView.serializer(), { it.control.configuration() }) { it.zoneText() }

    private fun ConfigurationView.zoneText(): String =
        (base["sites"] as? JsonObject)
            .orEmpty()
            .flatMap { (site, definition) -> zonesOf(definition as? JsonObject).map { it to site } }
            .joinToString("\n") { (zone, site) -> "$zone  $site  ${if (ZoneId(zone) in zonesOut) "out" else "in"}" }

    private fun zonesOf(site: JsonObject?): List<String> =
        (site?.get("zones") as? JsonArray).orEmpty().map { (it as JsonPrimitive).content }
}

/** Prints the targets that are out of service. */
internal class TargetListCommand : Command(name = "target list", summary = "Print the targets that are out of service") {
    override fun declare(parser: ArgParser) =
        printing(
            ConfigurationView.serializer(),
            { it.control.configuration() },
        ) { it.targetsOut.joinToString("\n").ifEmpty { "none is out" } }
}

/**
 * Takes something out of service or returns it.
 *
 * @param noun the first word of the command
 * @param what what is taken out or returned, for people
 * @param edit adds the id to the change
 */
internal class ServiceChangeCommand(
    private val noun: String,
    private val what: String,
    direction: Direction,
    private val edit: ChangeRequest.(id: String) -> ChangeRequest,
) : Command(name = "$noun ${direction.word}", summary = direction.summary(what)) {
    override fun declare(parser: ArgParser): Action {
        val id by parser.argument(ArgType.String, fullName = noun, description = "Id of $what")
        val options = ChangeOptions(parser)
        return Action { session -> applyChange(session, options) { it.edit(id) } }
    }
}

/** The commands that take availability zones and targets out of service and return them. */
internal val serviceChangeCommands =
    listOf(
        ServiceChangeCommand("zone", ZONE, Direction.OUT) { copy(zonesOut = listOf(ZoneId(it))) },
        ServiceChangeCommand("zone", ZONE, Direction.IN) { copy(zonesIn = listOf(ZoneId(it))) },
        ServiceChangeCommand("target", TARGET, Direction.OUT) { copy(targetsOut = listOf(TargetId(it))) },
        ServiceChangeCommand("target", TARGET, Direction.IN) { copy(targetsIn = listOf(TargetId(it))) },
    )
