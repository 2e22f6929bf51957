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
 * Validates JSON text against a type of the schema and reports all violations with their JSON paths.
 *
 * Use it for text written by people, such as settings, the base file and overlays, and for the bodies of callers that failed to decode.
 */
object SchemaValidator {
    private const val SCHEMA_LOCATION_PREFIX = "classpath:bluebellramp.yaml#/components/schemas/"
    private val mapper = ObjectMapper()
    private val schemas = ConcurrentHashMap<String, JsonSchema>()
    private val factory = JsonSchemaFactory.getInstance(SpecVersion.VersionFlag.V7)
    private val config =
        SchemaValidatorsConfig
            .builder()
            .pathType(PathType.JSON_PATH)
            .build()

    /** Returns the violations of the schema type [type] in [text], in the order of the schema. The list is empty if [text] is valid. */
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
        schemas.computeIfAbsent(type) { factory.getSchema(SchemaLocation.of(SCHEMA_LOCATION_PREFIX + it), config) }

    private fun parse(text: String): Result<JsonNode> =
        try {
            val node = mapper.readTree(text)
            if (node == null || node.isMissingNode) Result.failure(IllegalArgumentException("empty document")) else Result.success(node)
        } catch (e: JsonProcessingException) {
            val location = e.location?.let { " at line ${it.lineNr}, column ${it.columnNr}" }.orEmpty()
            Result.failure(IllegalArgumentException("not JSON$location: ${e.originalMessage}"))
        }
}
