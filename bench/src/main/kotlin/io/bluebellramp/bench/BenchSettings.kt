package io.bluebellramp.bench

import io.bluebellramp.core.Address
import io.bluebellramp.messages.CommandLineSettings
import io.bluebellramp.runtime.ExitCode
import io.bluebellramp.runtime.SettingsReader
import io.bluebellramp.runtime.SettingsResult
import io.bluebellramp.runtime.describe
import java.nio.file.Path

private val settingsReader = SettingsReader("CommandLineSettings", CommandLineSettings.serializer())

/** Returns the entry addresses listed in the settings [file]. Throws [UsageException] with all errors if the file is invalid. */
internal fun configuredEntries(file: String?): List<Address> {
    if (file == null) throw UsageException("--entry or --config is required")
    return when (val result = settingsReader.read(Path.of(file))) {
        is SettingsResult.Valid -> result.settings.entries.ifEmpty { throw UsageException("$file names no entries") }
        is SettingsResult.Invalid -> throw UsageException(result.violations.joinToString("\n") { "$file: ${it.describe()}" })
    }
}

/** Validates the settings file given by `--config` in [args], prints all errors and returns the exit code. */
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
