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

    /** Each claimant blocks the other and this entry has precedence: try again. */
    data object Split : ClaimResult

    /** No majority answered in one version of the membership. */
    data object Unavailable : ClaimResult
}
