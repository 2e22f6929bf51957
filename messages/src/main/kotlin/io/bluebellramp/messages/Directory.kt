package io.bluebellramp.messages

import kotlinx.serialization.Serializable

/** Processes that a control process knows. */
@Serializable
data class Directory(
    val controls: List<MemberAddress>,
    val entries: List<ProcessHello>,
    /** Index of the committed record that names the controls. */
    val controlsIndex: Long = 0,
)
