package io.bluebellramp.cli

import io.bluebellramp.core.Address
import io.bluebellramp.core.MemberId
import io.bluebellramp.messages.MembershipAction
import io.bluebellramp.messages.MembershipRequest
import io.bluebellramp.messages.StatusView
import kotlinx.cli.ArgParser
import kotlinx.cli.ArgType
import kotlinx.cli.required

/** Prints the members of the control cluster. */
internal class MemberListCommand : Command(name = "control list", summary = "Print the members of the control cluster") {
    override fun declareArguments(parser: ArgParser) = printAction(StatusView.serializer(), { it.control.status() }) { it.formatMembers() }
}

/** Adds a member to the control cluster. */
internal class MemberAddCommand : Command(name = "control add", summary = "Add a member that was started with joining=true") {
    override fun declareArguments(parser: ArgParser): CommandAction {
        val member by parser.argument(ArgType.String, fullName = "member", description = "New member id")
        val address by parser.option(ArgType.String, fullName = "address", description = "HOST:PORT of the member").required()
        return CommandAction { membershipAction(MembershipRequest(MembershipAction.ADD, MemberId(member), Address(address))).execute(it) }
    }
}

/** Removes a member from the control cluster; its id cannot be used again. */
internal class MemberRemoveCommand : Command(name = "control remove", summary = "Remove a member; its id never comes back") {
    override fun declareArguments(parser: ArgParser): CommandAction {
        val member by parser.argument(ArgType.String, fullName = "member", description = "Member id")
        return CommandAction { membershipAction(MembershipRequest(MembershipAction.REMOVE, MemberId(member))).execute(it) }
    }
}

/** Replaces a member whose data is lost by a new one, in one change of the membership. */
internal class MemberReplaceCommand : Command(name = "control replace", summary = "Replace a lost member by a new one in one step") {
    override fun declareArguments(parser: ArgParser): CommandAction {
        val lostMember by parser.argument(ArgType.String, fullName = "lost", description = "Member id that is lost")
        val member by parser.option(ArgType.String, fullName = "by", description = "New member id").required()
        val address by parser.option(ArgType.String, fullName = "address", description = "HOST:PORT of the new member").required()
        return CommandAction {
            membershipAction(
                MembershipRequest(MembershipAction.REPLACE, MemberId(member), Address(address), MemberId(lostMember)),
            ).execute(it)
        }
    }
}

private fun membershipAction(request: MembershipRequest) =
    printAction(StatusView.serializer(), { it.control.changeMembership(request) }) { it.formatMembers() }

/** Returns one line per member: its id, address, role and how many log records it is behind. */
internal fun StatusView.formatMembers(): String =
    members.joinToString("\n") { member ->
        val role =
            if (member.member == leader?.member) {
                "leader"
            } else if (member.voting) {
                "voter"
            } else {
                "learner"
            }
        val lag = member.matchIndex?.let { "  behind ${maxOf(0, commitIndex - it)}" }.orEmpty()
        "${member.member}  ${member.address}  $role$lag"
    }
