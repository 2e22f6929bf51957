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
    override fun declareArguments(parser: ArgParser) =
        printAction(ConfigurationView.serializer(), { it.control.configuration() }) { it.toText() }

    private fun ConfigurationView.toText(): String {
        val parts = mutableListOf("revision $revision", "base ${prettyJson.encodeToString(JsonObject.serializer(), base)}")
        overlays.forEach { (site, patch) -> parts += "overlay $site ${prettyJson.encodeToString(JsonObject.serializer(), patch)}" }
        parts += "zones out: ${zonesOut.joinToString().ifEmpty { "none" }}"
        parts += "targets out: ${targetsOut.joinToString().ifEmpty { "none" }}"
        return parts.joinToString("\n")
    }
}

/** Prints how the given files differ from the accepted configuration. */
internal class ConfigDiffCommand : Command(name = "config diff", summary = "Compare files with the accepted configuration") {
    override fun declareArguments(parser: ArgParser): CommandAction {
        val files = ConfigurationFileOptions(parser)
        return CommandAction { session ->
            val input = files.read() ?: return@CommandAction ExitCode.USAGE
            session.control.configuration().printFailureOr(session.output) { view ->
                session.output.print(input.differencesFrom(view), ConfigurationDifferences.serializer()) { it.toText() }
                ExitCode.OK
            }
        }
    }

    private fun ConfigurationDocuments.differencesFrom(view: ConfigurationView): ConfigurationDifferences {
        val baseDifferences = base?.let { jsonDifferences(view.base, it, "$") }.orEmpty()
        val overlayDifferences =
            overlays.flatMap { (site, patch) ->
                jsonDifferences(view.overlays[site] ?: JsonObject(emptyMap()), patch, "overlay $site: $")
            }
        return ConfigurationDifferences(revision = view.revision, differences = baseDifferences + overlayDifferences)
    }

    private fun ConfigurationDifferences.toText() = differences.joinToString("\n").ifEmpty { "no differences from revision $revision" }
}

/**
 * The differences between files and the accepted configuration.
 *
 * @property revision the revision that the files were compared with
 * @property differences one line per difference: `+` added, `-` removed or `~` changed, the JSON path and the values
 */
@Serializable
internal class ConfigurationDifferences(
    val revision: Revision,
    val differences: List<String>,
)

/** Submits a change that replaces the base configuration, site overlays or both with the given files. */
internal class ConfigApplyCommand : Command(name = "config apply", summary = "Change the base file and site overlays") {
    override fun declareArguments(parser: ArgParser): CommandAction {
        val files = ConfigurationFileOptions(parser)
        val options = ChangeOptions(parser)
        return CommandAction { session ->
            val input = files.read() ?: return@CommandAction ExitCode.USAGE
            if (input.base == null && input.overlays.isEmpty()) return@CommandAction usageError("$PROGRAM: --base or --overlay is required")
            applyChange(session, options) { it.copy(base = input.base, overlays = input.overlays) }
        }
    }
}

/** The contents of the configuration files to compare or apply; [base] is null if there is no base file. */
internal class ConfigurationDocuments(
    val base: JsonObject?,
    val overlays: Map<String, JsonObject>,
)

/** The options that name the base file and the overlay files. */
internal class ConfigurationFileOptions(
    parser: ArgParser,
) {
    private val base by parser.option(ArgType.String, fullName = "base", description = "Base file (JSON)")
    private val overlays by parser.option(ArgType.String, fullName = "overlay", description = "SITE=FILE, may be repeated").multiple()

    /** Reads the files, or prints the error and returns null. */
    fun read(): ConfigurationDocuments? =
        try {
            ConfigurationDocuments(base = base?.let(::readDocument), overlays = overlays.associate(::readOverlay))
        } catch (e: IllegalArgumentException) {
            usageError(e.message.orEmpty()).let { null }
        }

    private fun readOverlay(option: String): Pair<String, JsonObject> {
        require('=' in option) { "--overlay $option: SITE=FILE is expected" }
        return option.substringBefore('=') to readDocument(option.substringAfter('='))
    }

    private fun readDocument(file: String): JsonObject =
        try {
            Json.decodeFromString(JsonObject.serializer(), Files.readString(Path.of(file)))
        } catch (e: IOException) {
            throw IllegalArgumentException("cannot read $file: ${e.message}", e)
        } catch (e: SerializationException) {
            throw IllegalArgumentException("$file: not a JSON object: ${e.message}", e)
        }
}

/** The options that all commands share which change the configuration. */
internal class ChangeOptions(
    parser: ArgParser,
) {
    val basedOn by parser.option(
        ArgType.Int,
        fullName = "based-on",
        description = "Revision the change is based on; default the current one",
    )
    val changeId by parser.option(ArgType.String, fullName = "change", description = "Change id, for a resend after a lost answer")
    val author by parser.option(ArgType.String, fullName = "author", description = "Who makes the change; default \$USER")
    val noWait by parser.option(ArgType.Boolean, fullName = "no-wait", description = "Do not wait until it is in force").default(false)
}
