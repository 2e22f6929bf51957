package io.bluebellramp.control.node

import io.bluebellramp.core.MemberId
import io.bluebellramp.messages.Directory
import io.bluebellramp.messages.Membership

/**
 * Returns whether the other members have removed the member [self], so that its log is obsolete.
 *
 * @param membership the membership as [self] knows it; a process that was never a member cannot be removed
 * @param isSettled false while [membership] comes from an unconfirmed change: until then the votes of the former members are needed
 * @param directories committed members as reported by other control processes. Only those newer than [membership] count, because an
 * older one does not list members that joined later
 */
internal fun isRemoved(
    self: MemberId,
    membership: Membership,
    isSettled: Boolean,
    directories: Collection<Directory>,
): Boolean {
    if (self in membership.retired) return isSettled
    if ((membership.voters + membership.learners).none { it.member == self }) return false
    return directories.any { directory -> directory.controlsIndex > membership.index && directory.controls.none { it.member == self } }
}
