package io.bluebellramp.control.node

import io.bluebellramp.core.Address
import io.bluebellramp.messages.Directory
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** What a control process with an empty folder is to the cluster. */
internal sealed interface FoundingRole {
    /** One of [founders], the initial members. */
    data class Found(
        val founders: List<Address>,
    ) : FoundingRole

    /** A member that joins a cluster that others have founded. */
    data object Join : FoundingRole
}

/**
 * Returns the role of a seed with an empty folder that is not told to found the cluster, or null while it is not known. Does no I/O.
 *
 * Answers a founder that was killed before it had stored its identity, and was started again when the whole cluster no longer starts. The
 * other founders wait for it, and no one can take it in. It founds with them only if each of them tells that it still waits, with the same founders.
 * This only selects the identity: as for any founder with an empty folder, the stages of the founding members decide whether it may vote.
 *
 * @param directories the last directory of each connected control process
 * @param sinceStart time since this process started
 */
internal fun foundingRoleOfRestarted(
    self: Address,
    directories: Map<Address, Directory>,
    sinceStart: Duration,
): FoundingRole? {
    if (directories.values.any { it.controls.isNotEmpty() }) return FoundingRole.Join
    val awaiting = directories.filterValues { self in it.founders }
    if (awaiting.isEmpty()) return FoundingRole.Join.takeIf { sinceStart >= FOUNDERS_TIMEOUT }
    val founders = awaiting.values.first().founders
    val isAgreed = (founders - self).all { directories[it]?.founders?.toSet() == founders.toSet() }
    return if (isAgreed) FoundingRole.Found(founders) else null
}

/** Long compared with the start of a process. A cluster with a leader is recognized by its directory at once. */
private val FOUNDERS_TIMEOUT = 10.seconds
