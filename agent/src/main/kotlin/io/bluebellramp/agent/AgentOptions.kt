package io.bluebellramp.agent

import io.bluebellramp.core.SubmissionId
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

/**
 * Timeouts, intervals and limits of an agent that operators need not configure.
 *
 * @property prefetch tasks that may wait at the agent beyond its slots, to hide the round trip to the entries
 * @property permitInterval time between permit requests while in service
 * @property outOfServicePermitInterval time between permit requests while out of service; shorter, to notice the return to service soon
 * @property permitTimeout how long an entry may take to answer a permit request before the next entry is asked
 * @property recallTimeout how long an entry may take to return recalled credits before they count as lost
 * @property announcementTtl how long the target counts as present after an announcement
 * @property submissionTtl how long after the time in its id a submission may start
 * @property maxClockSkew how far in the future the time in a submission id may lie
 * @property outcomeTtl how long an outcome is kept for its entry to receive it
 * @property maxOutcomeBytes memory for outcomes that no entry has received yet, estimated (bytes)
 */
internal data class AgentOptions(
    val prefetch: Int = 0,
    val tickInterval: Duration = 50.milliseconds,
    val permitInterval: Duration = 300.milliseconds,
    val outOfServicePermitInterval: Duration = 100.milliseconds,
    val permitTimeout: Duration = 200.milliseconds,
    val recallTimeout: Duration = 2.seconds,
    val announcementTtl: Duration = 2.seconds,
    val submissionTtl: Duration = SubmissionId.MAX_AGE,
    val maxClockSkew: Duration = 1.minutes,
    val outcomeTtl: Duration = 1.minutes,
    val maxOutcomeBytes: Long = 8L * 1024 * 1024,
)
