package io.bluebellramp.runtime

import com.fasterxml.jackson.core.JsonProcessingException
import com.fasterxml.jackson.databind.JsonNode
import com.fasterxml.jackson.databind.ObjectMapper
import com.networknt.schema.JsonSchema
import com.networknt.schema.JsonSchemaFactory
import com.networknt.schema.PathType
import com.networknt.schema.SchemaLocation
import com.networknt.schema.SchemaValidatorsConfig
import com.networknt.schema.SpecVersion
import io.bluebellramp.messages.Violation
import java.util.concurrent.ConcurrentHashMap

/**
 * Checks JSON text against a type of the schema and reports every violation with its JSON path.
 *
 * Use it for what people write: settings, the base file and overlays, and the bodies of callers that did not decode.
 */
object SchemaValidator {
    private const val SCHEMA = "classpath:bluebellramp.yaml#/components/schemas/"
    private val mapper = ObjectMapper()
    private val schemas = ConcurrentHashMap<String, JsonSchema>()
    private val factory = JsonSchemaFactory.getInstance(SpecVersion.VersionFlag.V7)
    private val config =
        SchemaValidatorsConfig
            .builder()
            .pathType(PathType.JSON_PATH)
            .build()

    /** Returns the violations of [type] in [text], in the order of the schema, or an empty list. */
    fun violations(
        text: String,
        type: String,
    ): List<Violation> {
        val node = parse(text).getOrElse { return listOf(Violation(path = "$", message = it.message.orEmpty())) }
        return schema(type)
            .validate(node)
            .map { Violation(path = it.instanceLocation.toString(), message = it.message.substringAfter(": ")) }
    }

    private fun schema(type: String): JsonSchema =
        schemas.computeIfAbsent(type) { factory.getSchema(SchemaLocation.of(SCHEMA + it), config) }

    private fun parse(text: String): Result<JsonNode> =
        try {
            val node = mapper.readTree(text)
            if (node == null || node.isMissingNode) Result.failure(IllegalArgumentException("empty document")) else Result.success(node)
        } catch (e: JsonProcessingException) {
            val place = e.location?.let { " at line ${it.lineNr}, column ${it.columnNr}" }.orEmpty()
            Result.failure(IllegalArgumentException("not JSON$place: ${e.originalMessage}"))
        }
}
