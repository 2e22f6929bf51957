package io.bluebellramp.runtime

import io.bluebellramp.core.StrictJson
import io.bluebellramp.core.WireJson
import io.bluebellramp.messages.Violation
import kotlinx.serialization.KSerializer
import kotlinx.serialization.SerializationException
import java.io.IOException
import java.nio.file.Files
import java.nio.file.Path

/** The result of reading a settings file. */
sealed interface SettingsResult<out T> {
    /** The settings passed all checks. */
    data class Valid<T>(
        val settings: T,
    ) : SettingsResult<T>

    /** The settings are invalid. [violations] lists all errors that were found. */
    data class Invalid(
        val violations: List<Violation>,
    ) : SettingsResult<Nothing>
}

/**
 * Reads and validates the settings of a program.
 *
 * @param type name of the settings type in the schema
 * @param serializer decodes the validated text
 * @param check performs checks that the schema cannot express
 * @param checksSchema false to skip the schema and rely on [serializer] and [check], for programs that must start fast
 */
class SettingsReader<T>(
    private val type: String,
    private val serializer: KSerializer<T>,
    private val check: (T) -> List<Violation> = { emptyList() },
    private val checksSchema: Boolean = true,
) {
    /** Reads and validates [file]. A file that cannot be read is reported as a violation at `$`. */
    fun read(file: Path): SettingsResult<T> =
        try {
            parse(Files.readString(file))
        } catch (e: IOException) {
            SettingsResult.Invalid(listOf(Violation(path = "$", message = "cannot read $file: ${e.message}")))
        }

    /**
     * Reads [file] without validation, or returns null if it cannot be read or decoded.
     *
     * Use it for settings that are needed before the validation, which already logs.
     */
    internal fun readUnchecked(file: Path): T? =
        try {
            WireJson.decodeFromString(serializer, Files.readString(file))
        } catch (_: IOException) {
            null
        } catch (_: SerializationException) {
            null
        }

    /** Validates and decodes [text]. */
    fun parse(text: String): SettingsResult<T> {
        val violations = if (checksSchema) SchemaValidator.violations(text, type) else emptyList()
        if (violations.isNotEmpty()) return SettingsResult.Invalid(violations)
        return try {
            val settings = StrictJson.decodeFromString(serializer, text)
            val checkViolations = check(settings)
            if (checkViolations.isEmpty()) SettingsResult.Valid(settings) else SettingsResult.Invalid(checkViolations)
        } catch (e: SerializationException) {
            SettingsResult.Invalid(
                listOf(
                    Violation(
                        path = "$",
                        message =
                            e.message
                                .orEmpty()
                                .lineSequence()
                                .first(),
                    ),
                ),
            )
        }
    }
}
