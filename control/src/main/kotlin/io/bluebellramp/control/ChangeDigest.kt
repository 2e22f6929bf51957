package io.bluebellramp.control

import io.bluebellramp.core.WireJson
import io.bluebellramp.messages.ChangeRequest
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import java.security.MessageDigest
import java.util.HexFormat

/** Returns the SHA-256 digest of the change in hex. It does not depend on the order of JSON object keys. */
internal fun ChangeRequest.digest(): String {
    val text = WireJson.encodeToJsonElement(ChangeRequest.serializer(), this).withSortedKeys().toString()
    return HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(text.toByteArray()))
}

private fun JsonElement.withSortedKeys(): JsonElement =
    when (this) {
        is JsonObject -> JsonObject(toSortedMap().mapValues { it.value.withSortedKeys() })
        is JsonArray -> JsonArray(map { it.withSortedKeys() })
        else -> this
    }
