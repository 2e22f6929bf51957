package io.bluebellramp.messages

import io.bluebellramp.core.Address
import kotlinx.serialization.Serializable

/** The processes that a control process knows. */
@Serializable
data class Directory(
    val controls: List<MemberAddress>,
    val entries: List<ProcessHello>,
    /** Index of the committed record that lists the control processes. */
    val controlsIndex: Long = 0,
    /** Link addresses of the founders, while the sender is one of them and waits for the others to found the cluster. */
    val founders: List<Address> = emptyList(),
)
