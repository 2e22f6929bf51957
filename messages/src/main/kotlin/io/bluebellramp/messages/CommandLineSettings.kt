package io.bluebellramp.messages

import io.bluebellramp.core.Address
import kotlinx.serialization.Serializable

/** Settings of the command line. Options go before them. */
@Serializable
data class CommandLineSettings(
    /** Where the control processes listen. */
    val controls: List<Address> = emptyList(),
    /** Where the entries listen. */
    val entries: List<Address> = emptyList(),
    /** File with the shared secret. */
    val keyFile: String? = null,
)
