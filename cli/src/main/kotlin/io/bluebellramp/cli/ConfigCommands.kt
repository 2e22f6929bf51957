package io.bluebellramp.cli

import io.bluebellramp.core.Revision
import io.bluebellramp.messages.ConfigurationView
import io.bluebellramp.runtime.ExitCode
import kotlinx.cli.ArgParser
import kotlinx.cli.ArgType
import kotlinx.cli.default
import kotlinx.cli.multiple
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import java.io.IOException
import java.nio.file.Files
import java.nio.file.Path

private val prettyJson = Json { prettyPrint = true }

/** Prints the accepted configuration. */
internal class ConfigShowCommand : Command(name = "config show", summary = "Print the accepted configuration") {
    override fun declare(parser: ArgParser) = printing(ConfigurationView.serializer(), { it.control.configuration() }) { it.text() }

    private fun ConfigurationView.text(): String {
        val parts = mutableListOf("revision $revision", "base ${prettyJson.encodeToString(JsonObject.serializer(), base)}")
        overlays.forEach { (site, patch) -> parts += "overlay $site ${prettyJson.encodeToString(JsonObject.serializer(), patch)}" }
        parts += "zones out: ${zonesOut.joinToString().ifEmpty { "none" }}"
        parts += "targets out: ${targetsOut.joinToString().ifEmpty { "none" }}"
        return parts.joinToString("\n")
    }
}

/** Prints how files differ from the accepted configuration. */
internal class ConfigDiffCommand : Command(name = "config diff", summary = "Compare files with the accepted configuration") {
    override fun declare(parser: ArgParser): Action {
        val files = ConfigurationFiles(parser)
        return Action { session ->
            val read = files.read() ?: return@Action ExitCode.USAGE
            session.control.configuration().report(session.output) { view ->
                session.output.print(read.differencesFrom(view), ConfigurationDifferences.serializer()) { it.text() }
                ExitCode.OK
            }
        }
    }

    private fun ReadFiles.differencesFrom(view: ConfigurationView): ConfigurationDifferences {
        val ofBase = base?.let { jsonDifferences(view.base, it, "$") }.orEmpty()
        val ofOverlays =
            overlays.flatMap { (site, patch) ->
                jsonDifferences(view.overlays[site] ?: JsonObject(emptyMap()), patch, "overlay $site: $")
            }
        return ConfigurationDifferences(revision = view.revision, differences = ofBase + ofOverlays)
    }

    private fun ConfigurationDifferences.text() = differences.joinToString("\n").ifEmpty { "no differences from revision $revision" }
}

/**
 * How files differ from the accepted configuration.
 *
 * @property revision the revision that they were compared with
 * @property differences one line for each difference: `+`, `-` or `~`, its JSON path and the values
 */
@Serializable
internal class ConfigurationDifferences(
    val revision: Revision,
    val differences: List<String>,
)

/** Makes files the accepted configuration. */
internal class ConfigApplyCommand : Command(name = "config apply", summary = "Change the base file and site overlays") {
    override fun declare(parser: ArgParser): Action {
        val files = ConfigurationFiles(parser)
        val options = ChangeOptions(parser)
        return Action { session ->
            val read = files.read() ?: return@Action ExitCode.USAGE
            if (read.base == null && read.overlays.isEmpty()) return@Action usageError("$PROGRAM: --base or --overlay is required")
            applyChange(session, options) { it.copy(base = read.base, overlays = read.overlays) }
        }
    }
}

/** The documents that an operator wants to compare or apply. */
internal class ReadFiles(
    val base: JsonObject?,
    val overlays: Map<String, JsonObject>,
)

/** The options that name a base file and overlays. */
internal class ConfigurationFiles(
    parser: ArgParser,
) {
    private val base by parser.option(ArgType.String, fullName = "base", description = "Base file (JSON)")
    private val overlays by parser.option(ArgType.String, fullName = "overlay", description = "SITE=FILE, may be repeated").multiple()

    /** Reads the files, or prints what is wrong and returns null. */
    fun read(): ReadFiles? =
        try {
            ReadFiles(base = base?.let(::document), overlays = overlays.associate(::overlay))
        } catch (e: IllegalArgumentException) {
            usageError(e.message.orEmpty()).let { null }
        }

    private fun overlay(option: String): Pair<String, JsonObject> {
        require('=' in option) { "--overlay $option: SITE=FILE is expected" }
        return option.substringBefore('=') to document(option.substringAfter('='))
    }

    private fun document(file: String): JsonObject =
        try {
            Json.decodeFromString(JsonObject.serializer(), Files.readString(Path.of(file)))
        } catch (e: IOException) {
            throw IllegalArgumentException("cannot read $file: ${e.message}", e)
        } catch (e: SerializationException) {
            throw IllegalArgumentException("$file: not a JSON object: ${e.message}", e)
        }
}

/** The options of every command that makes a change. */
internal class ChangeOptions(
    parser: ArgParser,
) {
    val basedOn by parser.option(
        ArgType.Int,
        fullName = "based-on",
        description = "Revision the change is based on; default the current one",
    )
    val change by parser.option(ArgType.String, fullName = "change", description = "Change id, for a resend after a lost answer")
    val author by parser.option(ArgType.String, fullName = "author", description = "Who makes the change; default \$USER")
    val noWait by parser.option(ArgType.Boolean, fullName = "no-wait", description = "Do not wait until it is in force").default(false)
}
