package io.bluebellramp.messages

import io.bluebellramp.core.ZoneId
import kotlinx.serialization.Serializable

/** A site and its availability zones. */
@Serializable
data class Site(
    /** The availability zones of the site. */
    val zones: List<ZoneId>,
)
