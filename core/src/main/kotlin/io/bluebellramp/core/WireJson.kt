package io.bluebellramp.core

import kotlinx.serialization.json.Json

/** JSON between our own processes. Unknown fields are ignored, so that versions can be mixed during an upgrade. */
val WireJson: Json =
    Json {
        ignoreUnknownKeys = true
        explicitNulls = false
        encodeDefaults = false
    }

/** JSON from callers and operators. An unknown field is an error. */
val StrictJson: Json =
    Json {
        ignoreUnknownKeys = false
        explicitNulls = false
        encodeDefaults = false
    }
