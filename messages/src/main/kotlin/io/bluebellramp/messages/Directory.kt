package io.bluebellramp.messages

import kotlinx.serialization.Serializable

/** The processes that a control process knows. */
@Serializable
data class Directory(
    val controls: List<MemberAddress>,
    val entries: List<ProcessHello>,
    /** Index of the committed record that lists the control processes. */
    val controlsIndex: Long = 0,
)
