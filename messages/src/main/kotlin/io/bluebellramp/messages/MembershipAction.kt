package io.bluebellramp.messages

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** What to do with a member. One that is to learn gets the log and does not vote. */
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
