package io.bluebellramp.messages

import io.bluebellramp.core.Address
import kotlinx.serialization.Serializable

/** One address on which the relay listens for a process. */
@Serializable
data class RelayRoute(
    val listen: Address,
    val upstream: Address,
)
