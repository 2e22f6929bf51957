package io.bluebellramp.agent

/** Checks the conditions that the start of any attempt requires. No I/O; confined to the coroutine of the core. */
internal class StartGate(
    private val permits: PermitHolder,
    private val target: TargetPresence,
) {
    /** Whether the process is shutting down. Once true, it stays true. */
    var isLeaving = false

    /** Reads the clock and returns why no attempt may start now, or null if attempts may start. */
    fun refusal(): Refusal? =
        when {
            isLeaving -> Refusal.LEAVING
            !target.isPresent -> Refusal.NO_TARGET
            else -> permitRefusal()
        }

    private fun permitRefusal(): Refusal? =
        when (permits.state()) {
            PermitState.VALID -> null
            PermitState.EXPIRED -> Refusal.NO_PERMIT
            PermitState.OUT_OF_SERVICE -> Refusal.OUT_OF_SERVICE
        }
}
