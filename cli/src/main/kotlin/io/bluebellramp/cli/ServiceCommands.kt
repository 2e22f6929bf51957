package io.bluebellramp.cli

import io.bluebellramp.core.TargetId
import io.bluebellramp.core.ZoneId
import io.bluebellramp.messages.ConfigurationView
import io.bluebellramp.runtime.ExitCode
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
}

/** Prints the availability zones and whether each is in service. */
internal class ZoneListCommand : Command(name = "zone list", summary = "Print the availability zones and their state") {
    override fun declare(parser: ArgParser) =
        Action { session ->
            session.control.configuration().report(session.output) { view ->
                session.output.print(view, ConfigurationView.serializer()) { it.zoneText() }
                ExitCode.OK
            }
        }

    private fun ConfigurationView.zoneText(): String =
        (base["sites"] as? JsonObject)
            .orEmpty()
            .flatMap { (site, definition) -> zonesOf(definition as? JsonObject).map { it to site } }
            .joinToString("\n") { (zone, site) -> "$zone  $site  ${if (ZoneId(zone) in zonesOut) "out" else "in"}" }

    private fun zonesOf(site: JsonObject?): List<String> =
        (site?.get("zones") as? JsonArray).orEmpty().map { (it as JsonPrimitive).content }
}

/** Takes an availability zone out of service or returns it. */
internal class ZoneChangeCommand(
    private val direction: Direction,
) : Command(name = "zone ${direction.word}", summary = "Take an availability zone ${direction.word} of service".returning(direction)) {
    override fun declare(parser: ArgParser): Action {
        val zone by parser.argument(ArgType.String, fullName = "zone", description = "Availability zone")
        val options = ChangeOptions(parser)
        return Action { session ->
            val zones = listOf(ZoneId(zone))
            applyChange(session, options) { if (direction == Direction.OUT) it.copy(zonesOut = zones) else it.copy(zonesIn = zones) }
        }
    }
}

/** Prints the targets that are out of service. */
internal class TargetListCommand : Command(name = "target list", summary = "Print the targets that are out of service") {
    override fun declare(parser: ArgParser) =
        Action { session ->
            session.control.configuration().report(session.output) { view ->
                session.output.print(view, ConfigurationView.serializer()) { it.targetsOut.joinToString("\n").ifEmpty { "none is out" } }
                ExitCode.OK
            }
        }
}

/** Takes a target out of service or returns it. */
internal class TargetChangeCommand(
    private val direction: Direction,
) : Command(name = "target ${direction.word}", summary = "Take a target ${direction.word} of service".returning(direction)) {
    override fun declare(parser: ArgParser): Action {
        val target by parser.argument(ArgType.String, fullName = "target", description = "Target")
        val options = ChangeOptions(parser)
        return Action { session ->
            val targets = listOf(TargetId(target))
            applyChange(session, options) {
                if (direction ==
                    Direction.OUT
                ) {
                    it.copy(targetsOut = targets)
                } else {
                    it.copy(targetsIn = targets)
                }
            }
        }
    }
}

private fun String.returning(direction: Direction) =
    if (direction ==
        Direction.IN
    ) {
        replace("Take", "Return").replace("in of", "to")
    } else {
        this
    }
