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

/** A change of the shared state. An empty command changes nothing; proposing one yields a linearizable read of the state. */
@Serializable
internal data class CatalogCommand(
    val catalog: Catalog? = null,
    val zoneOut: ZoneId? = null,
    val zoneIn: ZoneId? = null,
)

/** Result of applying a [CatalogCommand]. */
internal enum class CatalogVerdict {
    /** The state is as the command requested. */
    IN_FORCE,

    /** A catalog with a higher number is in force, so the command changed nothing. */
    OVERTAKEN,

    /** A different catalog with the same number is in force. */
    CONFLICT,
}

/**
 * State machine of the catalog, which operators number, and of the availability zones out of service.
 *
 * The catalog with the highest number is in force. Resending it succeeds; a different catalog with the same number is refused.
 */
class CatalogStateMachine : StateMachine {
    private val current = MutableStateFlow(EMPTY)

    /** The state after the last applied command. Its index is 0 before any change. */
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
        val stored = state.catalog
        if (next != null && stored != null) {
            if (next.number < stored.number) return CatalogVerdict.OVERTAKEN
            if (next.number == stored.number) return if (next.digest == stored.digest) CatalogVerdict.IN_FORCE else CatalogVerdict.CONFLICT
        }
        val zonesOut = (state.zonesOut + listOfNotNull(command.zoneOut) - listOfNotNull(command.zoneIn).toSet()).distinct()
        val changed = state.copy(catalog = next ?: stored, zonesOut = zonesOut)
        if (changed != state) current.value = changed.copy(index = index)
        return CatalogVerdict.IN_FORCE
    }

    private companion object {
        val EMPTY = SharedState(index = 0, zonesOut = emptyList())
    }
}
