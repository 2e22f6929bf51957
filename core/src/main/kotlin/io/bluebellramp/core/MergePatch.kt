package io.bluebellramp.core

import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonNull
import kotlinx.serialization.json.JsonObject

/**
 * Returns [target] with the JSON merge patch [patch] applied (RFC 7396).
 *
 * A null in the patch removes the member, an object is merged into it and any other value replaces it.
 */
fun mergePatch(
    target: JsonElement,
    patch: JsonElement,
): JsonElement {
    if (patch !is JsonObject) return patch
    val merged = LinkedHashMap((target as? JsonObject).orEmpty())
    for ((name, value) in patch) {
        if (value is JsonNull) merged.remove(name) else merged[name] = mergePatch(merged[name] ?: JsonNull, value)
    }
    return JsonObject(merged)
}
