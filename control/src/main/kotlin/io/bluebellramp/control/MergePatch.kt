package io.bluebellramp.control

import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonNull
import kotlinx.serialization.json.JsonObject

/**
 * Returns this object with [patch] merged in, as RFC 7396 defines a JSON merge patch.
 *
 * A null in the patch removes the member; an object is merged member by member; anything else replaces.
 */
internal fun JsonObject.mergePatch(patch: JsonObject): JsonObject {
    val merged = LinkedHashMap(this)
    for ((name, value) in patch) {
        if (value is JsonNull) merged.remove(name) else merged[name] = patched(merged[name], value)
    }
    return JsonObject(merged)
}

private fun patched(
    old: JsonElement?,
    patch: JsonElement,
): JsonElement {
    if (patch !is JsonObject) return patch
    val target = old as? JsonObject ?: JsonObject(emptyMap())
    return target.mergePatch(patch)
}
