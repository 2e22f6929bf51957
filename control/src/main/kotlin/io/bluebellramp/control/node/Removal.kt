package io.bluebellramp.control.node

import io.bluebellramp.core.MemberId
import io.bluebellramp.messages.Directory
import io.bluebellramp.messages.Membership

/**
 * Tells whether the others have removed the member [own], so that its log counts for nothing any more.
 *
 * @param known the members as [own] knows them; one that was never a member can't be removed
 * @param isSettled false while [known] rests on a change that is not confirmed: until then the votes of the former members are needed
 * @param told committed members, as other control processes name them. Only a list that is newer than [known] counts: one that is behind
 * does not name a member that came later
 */
internal fun isRemoved(
    own: MemberId,
    known: Membership,
    isSettled: Boolean,
    told: Collection<Directory>,
): Boolean {
    if (own in known.retired) return isSettled
    if ((known.voters + known.learners).none { it.member == own }) return false
    return told.any { directory -> directory.controlsIndex > known.index && directory.controls.none { it.member == own } }
}
