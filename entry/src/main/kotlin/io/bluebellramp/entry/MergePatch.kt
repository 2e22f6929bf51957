package io.bluebellramp.entry

import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonNull
import kotlinx.serialization.json.JsonObject

/** Applies [patch] to [base] as a JSON merge patch (RFC 7396): null removes, objects merge, all else replaces. */
internal fun mergePatch(
    base: JsonElement?,
    patch: JsonElement,
): JsonElement {
    if (patch !is JsonObject) return patch
    val merged = LinkedHashMap((base as? JsonObject).orEmpty())
    patch.forEach { (name, value) ->
        if (value is JsonNull) merged.remove(name) else merged[name] = mergePatch(merged[name], value)
    }
    return JsonObject(merged)
}
