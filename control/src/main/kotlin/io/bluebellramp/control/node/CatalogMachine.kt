package io.bluebellramp.control.node

import io.bluebellramp.core.WireJson
import io.bluebellramp.core.ZoneId
import io.bluebellramp.messages.Catalog
import io.bluebellramp.messages.SharedState
import io.bluebellramp.replication.StateMachine
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.StateFlow
import kotlinx.coroutines.flow.asStateFlow
import kotlinx.serialization.Serializable

/** A change of what the processes share. Without any part it changes nothing, and its answer is a reading of the newest state. */
@Serializable
internal data class CatalogCommand(
    val catalog: Catalog? = null,
    val zoneOut: ZoneId? = null,
    val zoneIn: ZoneId? = null,
)

/** What became of a [CatalogCommand]. */
internal enum class CatalogVerdict {
    /** The state is what the command asked for. */
    IN_FORCE,

    /** A catalog with a higher number is in force; the command changed nothing. */
    OVERTAKEN,

    /** Another catalog has this number. */
    CONFLICT,
}

/**
 * The replicated catalog, numbered by the operator, and the availability zones out of service.
 *
 * The highest number is in force. A resend of the catalog in force is accepted again; another one under its number is refused.
 */
class CatalogMachine : StateMachine {
    private val current = MutableStateFlow(EMPTY)

    /** The state as of the last applied command. Its index is 0 before any change. */
    val state: StateFlow<SharedState> = current.asStateFlow()

    override fun apply(
        index: Long,
        command: String,
    ): String = decide(index, WireJson.decodeFromString<CatalogCommand>(command)).name

    override fun snapshot(): String = WireJson.encodeToString(current.value)

    override fun restore(snapshot: String) {
        current.value = WireJson.decodeFromString<SharedState>(snapshot)
    }

    private fun decide(
        index: Long,
        command: CatalogCommand,
    ): CatalogVerdict {
        val state = current.value
        val next = command.catalog
        val held = state.catalog
        if (next != null && held != null) {
            if (next.number < held.number) return CatalogVerdict.OVERTAKEN
            if (next.number == held.number) return if (next.digest == held.digest) CatalogVerdict.IN_FORCE else CatalogVerdict.CONFLICT
        }
        val zonesOut = (state.zonesOut + listOfNotNull(command.zoneOut) - listOfNotNull(command.zoneIn).toSet()).distinct()
        val changed = state.copy(catalog = next ?: held, zonesOut = zonesOut)
        if (changed != state) current.value = changed.copy(index = index)
        return CatalogVerdict.IN_FORCE
    }

    private companion object {
        val EMPTY = SharedState(index = 0, zonesOut = emptyList())
    }
}
