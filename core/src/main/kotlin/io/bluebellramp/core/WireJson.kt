package io.bluebellramp.core

import kotlinx.serialization.json.Json

/** The JSON format between the processes of the system. It ignores unknown fields, so that versions can be mixed during an upgrade. */
val WireJson: Json =
    Json {
        ignoreUnknownKeys = true
        explicitNulls = false
        encodeDefaults = false
    }

/** The JSON format for input from callers and operators. An unknown field is an error. */
val StrictJson: Json =
    Json {
        ignoreUnknownKeys = false
        explicitNulls = false
        encodeDefaults = false
    }
