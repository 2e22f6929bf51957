package io.bluebellramp.control

import io.bluebellramp.messages.ControlSettings
import io.bluebellramp.messages.Violation

/** Returns violations in [settings] that the schema cannot express. */
internal fun checkSettings(settings: ControlSettings): List<Violation> =
    buildList {
        val ids = settings.members.map { it.member }
        if (!settings.joining && settings.member !in ids) {
            add(Violation(path = "$.members", message = "must list the member ${settings.member}, or set joining"))
        }
        if (ids.toSet().size != ids.size) add(Violation(path = "$.members", message = "lists a member twice"))
        if (settings.bindOutgoing && settings.listen.host in WILDCARD_ADDRESSES) {
            add(Violation(path = "$.bindOutgoing", message = "needs one IP number to send from, but the process listens on all"))
        }
        if (settings.heartbeatMillis * MIN_HEARTBEATS_PER_ELECTION > settings.electionMillis) {
            add(Violation(path = "$.heartbeatMillis", message = "must be at most a third of electionMillis"))
        }
        if (settings.electionMillis * MIN_ELECTIONS_PER_PERMIT > settings.permitLifeMillis) {
            add(
                Violation(
                    path = "$.electionMillis",
                    message = "must be at most a third of permitLifeMillis, so that an election costs no work",
                ),
            )
        }
    }

private val WILDCARD_ADDRESSES = setOf("0.0.0.0", "[::]", "::")
private const val MIN_HEARTBEATS_PER_ELECTION = 3
private const val MIN_ELECTIONS_PER_PERMIT = 3
