package io.bluebellramp.runtime

import io.bluebellramp.core.StrictJson
import io.bluebellramp.core.WireJson
import io.bluebellramp.messages.Violation
import kotlinx.serialization.KSerializer
import kotlinx.serialization.SerializationException
import java.io.IOException
import java.nio.file.Files
import java.nio.file.Path

/** What came of reading a settings file. */
sealed interface SettingsResult<out T> {
    /** The settings are whole and within their limits. */
    data class Valid<T>(
        val settings: T,
    ) : SettingsResult<T>

    /** The settings have [violations]; all of them are listed. */
    data class Invalid(
        val violations: List<Violation>,
    ) : SettingsResult<Nothing>
}

/**
 * Reads and checks the settings of a program.
 *
 * @param type name of the settings type in the schema
 * @param serializer decodes the checked text
 * @param check further checks that the schema cannot express
 * @param checksSchema false leaves all checks to [serializer] and [check], for programs that must start fast
 */
class SettingsReader<T>(
    private val type: String,
    private val serializer: KSerializer<T>,
    private val check: (T) -> List<Violation> = { emptyList() },
    private val checksSchema: Boolean = true,
) {
    /** Reads [file]. A file that cannot be read is a violation at `$`. */
    fun read(file: Path): SettingsResult<T> =
        try {
            parse(Files.readString(file))
        } catch (e: IOException) {
            SettingsResult.Invalid(listOf(Violation(path = "$", message = "cannot read $file: ${e.message}")))
        }

    /** Reads [file] without checks, or returns null if it does not decode. Use it for what is needed before the check, which logs. */
    internal fun peek(file: Path): T? =
        try {
            WireJson.decodeFromString(serializer, Files.readString(file))
        } catch (_: IOException) {
            null
        } catch (_: SerializationException) {
            null
        }

    /** Checks and decodes [text]. */
    fun parse(text: String): SettingsResult<T> {
        val violations = if (checksSchema) SchemaValidator.violations(text, type) else emptyList()
        if (violations.isNotEmpty()) return SettingsResult.Invalid(violations)
        return try {
            val settings = StrictJson.decodeFromString(serializer, text)
            val further = check(settings)
            if (further.isEmpty()) SettingsResult.Valid(settings) else SettingsResult.Invalid(further)
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
