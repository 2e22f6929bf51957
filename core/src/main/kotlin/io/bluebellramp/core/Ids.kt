package io.bluebellramp.core

import kotlinx.serialization.Serializable
import java.security.SecureRandom
import java.util.HexFormat

/** Identifies an entry process. It stays the same across restarts; [IncarnationId] does not. */
@Serializable
@JvmInline
value class EntryId(
    val value: String,
) {
    override fun toString() = value
}

/** Identifies an agent process. */
@Serializable
@JvmInline
value class AgentId(
    val value: String,
) {
    override fun toString() = value
}

/** Identifies a target, the back end that runs tasks. */
@Serializable
@JvmInline
value class TargetId(
    val value: String,
) {
    override fun toString() = value
}

/** Identifies a member of the control cluster. A member that lost its disk must return under a new id. */
@Serializable
@JvmInline
value class MemberId(
    val value: String,
) {
    override fun toString() = value
}

/** Identifies an availability zone. */
@Serializable
@JvmInline
value class ZoneId(
    val value: String,
) {
    override fun toString() = value
}

/** Identifies a site, a group of availability zones that share one configuration overlay. */
@Serializable
@JvmInline
value class SiteId(
    val value: String,
) {
    override fun toString() = value
}

/** Identifies a service, which operators create. */
@Serializable
@JvmInline
value class ServiceId(
    val value: String,
) {
    override fun toString() = value
}

/** Identifies a team, that is, the customer to which a quota applies. */
@Serializable
@JvmInline
value class TeamId(
    val value: String,
) {
    override fun toString() = value
}

/** Identifies a change of the configuration. The operator chooses it, so that a change that is sent again is recognized. */
@Serializable
@JvmInline
value class ChangeId(
    val value: String,
) {
    override fun toString() = value
}

/** Identifies one run of a process, from start to exit. */
@Serializable
@JvmInline
value class IncarnationId(
    val value: String,
) {
    override fun toString() = value

    companion object {
        private val random = SecureRandom()
        private const val ID_BYTES = 8

        /** Returns a new random id. */
        fun create(): IncarnationId {
            val bytes = ByteArray(ID_BYTES)
            random.nextBytes(bytes)
            return IncarnationId(HexFormat.of().formatHex(bytes))
        }
    }
}

/** The IP address and port at which a process listens, as `host:port`. */
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

/** A version of the configuration. Revisions only increase. */
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

/** Identifies a best-effort job. The caller chooses it and repeats the call with the same id if the answer was lost. */
@Serializable
@JvmInline
value class JobId(
    val value: String,
) {
    override fun toString() = value
}
