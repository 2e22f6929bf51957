package io.bluebellramp.cli

import io.bluebellramp.core.ChangeId
import io.bluebellramp.core.Revision
import io.bluebellramp.messages.ChangeOutcome
import io.bluebellramp.messages.ChangeRequest
import io.bluebellramp.messages.ChangeResponse
import io.bluebellramp.messages.ConfigurationView
import io.bluebellramp.runtime.ExitCode
import io.bluebellramp.runtime.wording
import java.util.UUID

/** Makes the change that [edit] describes and prints what became of it. Returns the exit code. */
internal suspend fun applyChange(
    session: Session,
    options: ChangeOptions,
    edit: (ChangeRequest) -> ChangeRequest,
): Int {
    val basedOn =
        when (val given = options.basedOn) {
            null -> session.control.configuration().let { if (it is CallResult.Answered) it.value.revision else return it.fail(session) }
            else -> Revision(given.toLong())
        }
    val change = ChangeId(options.change ?: UUID.randomUUID().toString())
    val request = edit(ChangeRequest(change = change, basedOn = basedOn, author = options.author ?: System.getenv("USER")))
    return session.control.change(request, wait = !options.noWait).report(session.output) { response ->
        session.output.print(response, ChangeResponse.serializer()) { it.text() }
        if (response.outcome == ChangeOutcome.ACCEPTED && (options.noWait || response.inForce)) ExitCode.OK else ExitCode.REFUSED
    }
}

private fun CallResult<ConfigurationView>.fail(session: Session): Int = session.output.failure(this as CallResult.Failure)

private fun ChangeResponse.text(): String =
    when (outcome) {
        ChangeOutcome.ACCEPTED -> acceptedText()

        ChangeOutcome.CONFLICT -> "conflict: revision ${winner?.revision} was made by change ${winner?.change}${winner?.author?.let {
            " of $it"
        }.orEmpty()}"

        ChangeOutcome.INVALID -> violations.joinToString("\n", prefix = "invalid:\n") { "  ${it.wording()}" }
    }

private fun ChangeResponse.acceptedText(): String {
    val accepted = "accepted as revision $revision after %.0f ms".format(acceptedMillis)
    return if (inForce) "$accepted, in force everywhere after %.0f ms more".format(inForceMillis ?: 0.0) else "$accepted, not yet in force"
}
