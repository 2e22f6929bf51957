package io.bluebellramp.messages

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** What to do with a member. */
@Serializable
enum class MembershipAction {
    @SerialName("add")
    ADD,

    @SerialName("remove")
    REMOVE,

    @SerialName("replace")
    REPLACE,
}
