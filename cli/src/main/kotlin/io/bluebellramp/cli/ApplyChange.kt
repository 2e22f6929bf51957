package io.bluebellramp.cli

import io.bluebellramp.core.ChangeId
import io.bluebellramp.core.Revision
import io.bluebellramp.messages.ChangeOutcome
import io.bluebellramp.messages.ChangeRequest
import io.bluebellramp.messages.ChangeResponse
import io.bluebellramp.messages.ConfigurationView
import io.bluebellramp.runtime.ExitCode
import io.bluebellramp.runtime.describe
import java.util.UUID

/** Submits the change that [edit] fills in, and prints its outcome. Returns the exit code. */
internal suspend fun applyChange(
    session: Session,
    options: ChangeOptions,
    edit: (ChangeRequest) -> ChangeRequest,
): Int {
    val basedOn =
        when (val revision = options.basedOn) {
            null -> session.control.configuration().let { if (it is CallResult.Success) it.value.revision else return it.printTo(session) }
            else -> Revision(revision.toLong())
        }
    val change = ChangeId(options.changeId ?: UUID.randomUUID().toString())
    val request = edit(ChangeRequest(change = change, basedOn = basedOn, author = options.author ?: System.getenv("USER")))
    return session.control.change(request, wait = !options.noWait).printFailureOr(session.output) { response ->
        session.output.print(response, ChangeResponse.serializer()) { it.toText() }
        if (response.outcome == ChangeOutcome.ACCEPTED && (options.noWait || response.inForce)) ExitCode.OK else ExitCode.REFUSED
    }
}

/** Prints this failure and returns the exit code. */
private fun CallResult<ConfigurationView>.printTo(session: Session): Int = session.output.printFailure(this as CallResult.Failure)

private fun ChangeResponse.toText(): String =
    when (outcome) {
        ChangeOutcome.ACCEPTED -> acceptedText()

        ChangeOutcome.CONFLICT -> "conflict: revision ${winner?.revision} was made by change ${winner?.change}${winner?.author?.let {
            " of $it"
        }.orEmpty()}"

        ChangeOutcome.INVALID -> violations.joinToString("\n", prefix = "invalid:\n") { "  ${it.describe()}" }
    }

private fun ChangeResponse.acceptedText(): String {
    val accepted = "accepted as revision $revision after %.0f ms".format(acceptedMillis)
    return if (inForce) "$accepted, in force everywhere after %.0f ms more".format(inForceMillis ?: 0.0) else "$accepted, not yet in force"
}
