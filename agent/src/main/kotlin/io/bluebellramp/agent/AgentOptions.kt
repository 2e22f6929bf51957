package io.bluebellramp.agent

import io.bluebellramp.core.SubmissionId
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

/**
 * Times and bounds of an agent that operators need not set.
 *
 * @property prefetch tasks that wait at the agent beyond its slots, to hide the round trip to the entries
 * @property permitPeriod time between permit requests in service
 * @property outPermitPeriod time between permit requests out of service, shorter so that the return is seen soon
 * @property permitPatience how long an entry may take to answer a permit request before the next one is asked
 * @property recallPatience how long an entry may take to return recalled credits before they are written off
 * @property submissionLife how long after the time inside its id a submission may start
 * @property clockSkew how far the time inside an id may lie in the future
 * @property outcomeLife how long an outcome waits to be received
 * @property outcomeBytes results that may wait to be received (bytes)
 */
internal data class AgentOptions(
    val prefetch: Int = 0,
    val tick: Duration = 50.milliseconds,
    val permitPeriod: Duration = 300.milliseconds,
    val outPermitPeriod: Duration = 100.milliseconds,
    val permitPatience: Duration = 200.milliseconds,
    val recallPatience: Duration = 2.seconds,
    val announcementLife: Duration = 2.seconds,
    val submissionLife: Duration = SubmissionId.LIFE,
    val clockSkew: Duration = 1.minutes,
    val outcomeLife: Duration = 1.minutes,
    val outcomeBytes: Long = 8L * 1024 * 1024,
)
