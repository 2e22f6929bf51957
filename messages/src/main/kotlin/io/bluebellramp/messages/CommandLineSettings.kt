package io.bluebellramp.messages

import io.bluebellramp.core.Address
import kotlinx.serialization.Serializable

/** Settings of the command line tool. Command line options override them. */
@Serializable
data class CommandLineSettings(
    /** Addresses of the control processes. */
    val controls: List<Address> = emptyList(),
    /** Addresses of the entries. */
    val entries: List<Address> = emptyList(),
    /** File with the shared secret. */
    val keyFile: String? = null,
)
