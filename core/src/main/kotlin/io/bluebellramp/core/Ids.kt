package io.bluebellramp.core

import kotlinx.serialization.Serializable
import java.security.SecureRandom
import java.util.HexFormat

/** Names an entry process. It stays the same across restarts; [IncarnationId] does not. */
@Serializable
@JvmInline
value class EntryId(
    val value: String,
) {
    override fun toString() = value
}

/** Names an agent process. */
@Serializable
@JvmInline
value class AgentId(
    val value: String,
) {
    override fun toString() = value
}

/** Names a target, the back end that runs tasks. */
@Serializable
@JvmInline
value class TargetId(
    val value: String,
) {
    override fun toString() = value
}

/** Names a member of the control cluster. An id whose disk was lost never comes back. */
@Serializable
@JvmInline
value class MemberId(
    val value: String,
) {
    override fun toString() = value
}

/** Names an availability zone. */
@Serializable
@JvmInline
value class ZoneId(
    val value: String,
) {
    override fun toString() = value
}

/** Names a site, a group of availability zones with one overlay. */
@Serializable
@JvmInline
value class SiteId(
    val value: String,
) {
    override fun toString() = value
}

/** Names a service that operators created. */
@Serializable
@JvmInline
value class ServiceId(
    val value: String,
) {
    override fun toString() = value
}

/** Names a team, the customer that a quota belongs to. */
@Serializable
@JvmInline
value class TeamId(
    val value: String,
) {
    override fun toString() = value
}

/** Names one change of the configuration, chosen by the operator, so that a resend is recognized. */
@Serializable
@JvmInline
value class ChangeId(
    val value: String,
) {
    override fun toString() = value
}

/** Names one run of a process, from start to exit. */
@Serializable
@JvmInline
value class IncarnationId(
    val value: String,
) {
    override fun toString() = value

    companion object {
        private val random = SecureRandom()
        private const val BYTES = 8

        /** Returns an id that no earlier run has had. */
        fun next(): IncarnationId {
            val bytes = ByteArray(BYTES)
            random.nextBytes(bytes)
            return IncarnationId(HexFormat.of().formatHex(bytes))
        }
    }
}

/** The IP number and port where a process listens, as `host:port`. */
@Serializable
@JvmInline
value class Address(
    val value: String,
) {
    /** The part before the last colon. */
    val host: String get() = value.substringBeforeLast(':')

    /** The TCP port. */
    val port: Int get() = value.substringAfterLast(':').toInt()

    override fun toString() = value
}

/** A version of the configuration. Revisions only grow. */
@Serializable
@JvmInline
value class Revision(
    val value: Long,
) : Comparable<Revision> {
    /** The revision after this one. */
    fun next() = Revision(value + 1)

    override fun compareTo(other: Revision) = value.compareTo(other.value)

    override fun toString() = value.toString()

    companion object {
        /** The revision of an empty configuration. */
        val ZERO = Revision(0)
    }
}

/** Names a best-effort job. The caller chooses it and sends the same one again after a lost answer. */
@Serializable
@JvmInline
value class JobId(
    val value: String,
) {
    override fun toString() = value
}
