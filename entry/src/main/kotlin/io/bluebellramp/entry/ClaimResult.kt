package io.bluebellramp.entry

import io.bluebellramp.messages.ClaimHolder

/** What came of a claim at the members. */
internal sealed interface ClaimResult {
    /** A majority granted the claim. */
    data object Granted : ClaimResult

    /** Another entry holds the claim. */
    data class Held(
        val holder: ClaimHolder,
        val digest: String,
    ) : ClaimResult

    /** Each claimant blocks the other. This entry has precedence and tries again, unless the other stays. */
    data class Split(
        val other: Held,
    ) : ClaimResult

    /** No majority answered in one version of the membership. */
    data object Unavailable : ClaimResult

    /** True if another try may bring another result. */
    val isOpen get() = this is Split || this is Unavailable
}
