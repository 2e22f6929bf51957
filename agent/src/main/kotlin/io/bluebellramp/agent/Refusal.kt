package io.bluebellramp.agent

/**
 * Why an attempt is refused.
 *
 * @property reason the text of the reason in outcomes, logs and metrics
 */
internal enum class Refusal(
    val reason: String,
) {
    INVALID_REFERENCE("invalid_reference"),
    OTHER_INCARNATION("other_incarnation"),
    ID_OUT_OF_TIME("id_out_of_time"),
    ALREADY_STARTED("already_started"),
    FENCED("fenced"),
    EARLIER_ATTEMPT("earlier_attempt"),
    CANCELLED("cancelled"),
    NO_CREDIT("no_credit"),
    NO_PERMIT("no_permit"),
    OUT_OF_SERVICE("out_of_service"),
    NO_TARGET("no_target"),
    LEAVING("leaving"),
    FULL("full"),
    DEADLINE("deadline"),
    CONNECTION_LOST("connection_lost"),
    TARGET_REFUSED("target_refused"),
}
