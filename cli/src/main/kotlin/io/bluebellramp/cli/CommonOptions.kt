package io.bluebellramp.cli

import io.bluebellramp.core.Address
import io.bluebellramp.messages.CommandLineSettings
import io.bluebellramp.runtime.ExitCode
import io.bluebellramp.runtime.SettingsReader
import io.bluebellramp.runtime.SettingsResult
import io.bluebellramp.runtime.describe
import kotlinx.cli.ArgParser
import kotlinx.cli.ArgType
import kotlinx.cli.default
import java.nio.file.Path

private const val CONFIG_VARIABLE = "BLUEBELLRAMPCTL_CONFIG"
private val addressPattern = Regex("^[0-9A-Za-z.:\\[\\]-]+:[0-9]{1,5}$")
private val settingsReader = SettingsReader("CommandLineSettings", CommandLineSettings.serializer())

/** The options that all commands share. */
internal class CommonOptions(
    parser: ArgParser,
) {
    private val settingsFile by parser.option(ArgType.String, fullName = "config", description = "Settings file; default $$CONFIG_VARIABLE")
    private val controls by parser.option(ArgType.String, fullName = "control", description = "Control processes, HOST:PORT, by comma")
    private val entries by parser.option(ArgType.String, fullName = "entry", description = "Entries, HOST:PORT, by comma")
    private val keyFile by parser.option(ArgType.String, fullName = "key-file", description = "File with the shared secret")
    private val json by parser.option(ArgType.Boolean, fullName = "json", description = "Print JSON").default(false)

    /** Opens a session with the settings file, if there is one; options override its settings. */
    fun openSession(): SessionResult {
        val file = settingsFile ?: System.getenv(CONFIG_VARIABLE)
        val settings =
            when (val result = file?.let { settingsReader.read(Path.of(it)) }) {
                null -> CommandLineSettings()

                is SettingsResult.Valid -> result.settings

                is SettingsResult.Invalid -> return SessionResult.Invalid(
                    result.violations.joinToString("\n") { "$file: ${it.describe()}" },
                )
            }
        val invalidAddresses = listOfNotNull(controls, entries).flatMap { it.split(',') }.filterNot(addressPattern::matches)
        if (invalidAddresses.isNotEmpty()) return SessionResult.Invalid("not HOST:PORT: ${invalidAddresses.joinToString()}")
        return SessionResult.open(
            settings.copy(
                controls = controls?.parseAddresses() ?: settings.controls,
                entries = entries?.parseAddresses() ?: settings.entries,
                keyFile = keyFile ?: settings.keyFile,
            ),
            json,
        )
    }

    private fun String.parseAddresses() = split(',').map(::Address)
}

/** Checks the settings file named in [args] or the environment, and prints all its errors. Returns the exit code. */
internal fun checkSettings(args: List<String>): Int {
    val file = args.getOrNull(args.indexOf("--config") + 1).takeIf { "--config" in args } ?: System.getenv(CONFIG_VARIABLE)
    if (file == null) return usageError("$PROGRAM: --check needs --config FILE")
    return when (val result = settingsReader.read(Path.of(file))) {
        is SettingsResult.Valid -> println("$file: no errors").let { ExitCode.OK }
        is SettingsResult.Invalid -> usageError(result.violations.joinToString("\n") { "$file: ${it.describe()}" })
    }
}
