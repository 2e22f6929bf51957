package io.bluebellramp.messages

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** The action on a member. Learn adds a member that receives the log but does not vote. */
@Serializable
enum class MembershipAction {
    @SerialName("add")
    ADD,

    @SerialName("remove")
    REMOVE,

    @SerialName("replace")
    REPLACE,

    @SerialName("learn")
    LEARN,
}
