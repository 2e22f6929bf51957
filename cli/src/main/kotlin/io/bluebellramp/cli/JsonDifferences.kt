package io.bluebellramp.cli

import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject

/** Returns one line per JSON path at which [new] differs from [old]: `+` added, `-` removed, `~` changed. Paths start with [path]. */
internal fun jsonDifferences(
    old: JsonElement?,
    new: JsonElement?,
    path: String,
): List<String> =
    when {
        old == new -> emptyList()
        old == null -> listOf("+ $path: $new")
        new == null -> listOf("- $path: $old")
        old is JsonObject && new is JsonObject -> (old.keys + new.keys).flatMap { jsonDifferences(old[it], new[it], "$path.$it") }
        else -> listOf("~ $path: $old -> $new")
    }
