package io.bluebellramp.agent

/** Tells whether anything may start. No I/O; confined to the coroutine of the core. */
internal class StartGate(
    private val permits: PermitHolder,
    private val target: TargetPresence,
) {
    /** Whether the process shuts down. It never goes back. */
    var isLeaving = false

    /** Reads the clock and returns why nothing may start at this moment, or null. */
    fun refusal(): Refusal? =
        when {
            isLeaving -> Refusal.LEAVING
            !target.isPresent -> Refusal.NO_TARGET
            else -> permitRefusal()
        }

    private fun permitRefusal(): Refusal? =
        when (permits.state()) {
            PermitState.LIVE -> null
            PermitState.DEAD -> Refusal.NO_PERMIT
            PermitState.OUT_OF_SERVICE -> Refusal.OUT_OF_SERVICE
        }
}
