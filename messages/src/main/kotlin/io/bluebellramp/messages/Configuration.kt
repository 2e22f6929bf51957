package io.bluebellramp.messages

import kotlinx.serialization.Serializable

/** The base file that operators edit. The overlay of a site is a JSON merge patch to it. */
@Serializable
data class Configuration(
    /** Services by id. */
    val services: Map<String, Service>,
    /** Sites by id. */
    val sites: Map<String, Site>,
    /** Teams by id. A team that is not listed has no quota. */
    val teams: Map<String, Team> = emptyMap(),
)
