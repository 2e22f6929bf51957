package io.bluebellramp.agent

/**
 * Why an attempt is refused.
 *
 * @property reason the text of the reason in outcomes, logs and metrics
 */
internal enum class Refusal(
    val reason: String,
) {
    /** The submission id, task or attempt number is not valid. */
    INVALID_REFERENCE("invalid_reference"),

    /** The dispatch was addressed to another incarnation of this agent. */
    OTHER_INCARNATION("other_incarnation"),

    /** The time in the submission id is too far in the past or in the future. */
    ID_OUT_OF_TIME("id_out_of_time"),

    /** This attempt was accepted before, or an earlier one may have started and the task is not idempotent. */
    ALREADY_STARTED("already_started"),

    /** The attempt was refused, cancelled or inquired about before, and may not start any more. */
    FENCED("fenced"),

    /** The agent has already seen a later attempt of the task. */
    EARLIER_ATTEMPT("earlier_attempt"),

    /** The entry cancelled the attempt or inquired about it while it was waiting. */
    CANCELLED("cancelled"),

    /** The entry had no credit left on this connection. */
    NO_CREDIT("no_credit"),

    /** The agent has no permit, or it has expired. */
    NO_PERMIT("no_permit"),

    /** The permit says that the agent is out of service. */
    OUT_OF_SERVICE("out_of_service"),

    /** The target is not present or was replaced by another one. */
    NO_TARGET("no_target"),

    /** The agent is shutting down. */
    LEAVING("leaving"),

    /** There is no free place to run or to wait. */
    FULL("full"),

    /** The deadline of the attempt passed before it could start. */
    DEADLINE("deadline"),

    /** The connection of the dispatch was closed while the attempt was waiting. */
    CONNECTION_LOST("connection_lost"),

    /** The call was not sent: the target refused the connection, or the permit expired first. */
    TARGET_REFUSED("target_refused"),
}
