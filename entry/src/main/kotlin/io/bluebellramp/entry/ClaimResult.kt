package io.bluebellramp.entry

import io.bluebellramp.messages.ClaimHolder

/** The result of a claim at the voting members. */
internal sealed interface ClaimResult {
    /** A majority granted the claim. */
    data object Granted : ClaimResult

    /** Another entry holds the claim. */
    data class Held(
        val holder: ClaimHolder,
        val digest: String,
    ) : ClaimResult

    /**
     * The votes are split with [other] and neither claimant can win. This entry has precedence and retries; [other] wins if the last retry
     * is split, too.
     */
    data class Split(
        val other: Held,
    ) : ClaimResult

    /** No majority of the members answered with the same membership version. */
    data object Unavailable : ClaimResult

    /** True if a retry may have another result. */
    val isRetryable get() = this is Split || this is Unavailable
}
