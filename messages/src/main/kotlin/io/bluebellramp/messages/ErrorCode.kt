package io.bluebellramp.messages

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** The kind of an error. */
@Serializable
enum class ErrorCode {
    @SerialName("invalid_body")
    INVALID_BODY,

    @SerialName("body_too_large")
    BODY_TOO_LARGE,

    @SerialName("request_timeout")
    REQUEST_TIMEOUT,

    @SerialName("unauthorized")
    UNAUTHORIZED,

    @SerialName("not_found")
    NOT_FOUND,

    @SerialName("unknown_service")
    UNKNOWN_SERVICE,

    @SerialName("invalid_submission")
    INVALID_SUBMISSION,

    @SerialName("expired_submission")
    EXPIRED_SUBMISSION,

    @SerialName("submission_conflict")
    SUBMISSION_CONFLICT,

    @SerialName("owner_unreachable")
    OWNER_UNREACHABLE,

    @SerialName("owner_lost")
    OWNER_LOST,

    @SerialName("not_ready")
    NOT_READY,

    @SerialName("leaving")
    LEAVING,

    @SerialName("claims_unavailable")
    CLAIMS_UNAVAILABLE,

    @SerialName("queue_full")
    QUEUE_FULL,

    @SerialName("quota_exceeded")
    QUOTA_EXCEEDED,

    @SerialName("deadline_unreachable")
    DEADLINE_UNREACHABLE,

    @SerialName("deadline_passed")
    DEADLINE_PASSED,

    @SerialName("never_runnable")
    NEVER_RUNNABLE,

    @SerialName("cancelled")
    CANCELLED,

    @SerialName("task_failed")
    TASK_FAILED,

    @SerialName("outcome_unknown")
    OUTCOME_UNKNOWN,

    @SerialName("no_leader")
    NO_LEADER,

    @SerialName("revision_conflict")
    REVISION_CONFLICT,

    @SerialName("invalid_configuration")
    INVALID_CONFIGURATION,

    @SerialName("membership_refused")
    MEMBERSHIP_REFUSED,

    @SerialName("internal")
    INTERNAL,
}
