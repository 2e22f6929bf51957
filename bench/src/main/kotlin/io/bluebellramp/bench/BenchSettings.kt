package io.bluebellramp.bench

import io.bluebellramp.core.Address
import io.bluebellramp.messages.CommandLineSettings
import io.bluebellramp.runtime.ExitCode
import io.bluebellramp.runtime.SettingsReader
import io.bluebellramp.runtime.SettingsResult
import io.bluebellramp.runtime.describe
import java.nio.file.Path

private val settingsReader = SettingsReader("CommandLineSettings", CommandLineSettings.serializer())

/** Returns the entries that the settings [file] of the command line names. Throws [UsageException] with all its errors. */
internal fun configuredEntries(file: String?): List<Address> {
    if (file == null) throw UsageException("--entry or --config is required")
    return when (val result = settingsReader.read(Path.of(file))) {
        is SettingsResult.Valid -> result.settings.entries.ifEmpty { throw UsageException("$file names no entries") }
        is SettingsResult.Invalid -> throw UsageException(result.violations.joinToString("\n") { "$file: ${it.describe()}" })
    }
}

/** Checks the settings file that [args] name and prints all errors. Returns the exit code. */
internal fun checkSettings(args: List<String>): Int =
    try {
        val file = args.getOrNull(args.indexOf("--config") + 1).takeIf { "--config" in args }
        configuredEntries(file)
        println("$file: no errors")
        ExitCode.OK
    } catch (e: UsageException) {
        System.err.println("$PROGRAM: ${e.message}")
        ExitCode.USAGE
    }
