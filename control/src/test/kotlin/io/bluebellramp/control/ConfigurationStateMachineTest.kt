package io.bluebellramp.control

import io.bluebellramp.core.ChangeId
import io.bluebellramp.core.Revision
import io.bluebellramp.core.WireJson
import io.bluebellramp.core.ZoneId
import io.bluebellramp.messages.ChangeOutcome
import io.bluebellramp.messages.ChangeRequest
import io.bluebellramp.messages.ChangeResponse
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.jsonObject
import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNull
import kotlin.test.assertTrue

internal val BASE: JsonObject =
    json("""{"services":{"permit-desk":{"slots":8}},"sites":{"vestland":{"zones":["bergen-a","bergen-b"]},"ogun":{"zones":["sagamu"]}}}""")

internal fun json(text: String): JsonObject = Json.parseToJsonElement(text).jsonObject

internal fun change(
    id: String,
    basedOn: Long,
    base: JsonObject? = null,
    overlays: Map<String, JsonObject> = emptyMap(),
    out: List<String> = emptyList(),
    back: List<String> = emptyList(),
) = ChangeRequest(
    change = ChangeId(id),
    basedOn = Revision(basedOn),
    author = "author of $id",
    base = base,
    overlays = overlays,
    zonesOut = out.map(::ZoneId),
    zonesIn = back.map(::ZoneId),
)

internal fun ConfigurationStateMachine.decide(request: ChangeRequest): ChangeResponse =
    WireJson.decodeFromString(apply(0, WireJson.encodeToString(request)))

class ConfigurationStateMachineTest {
    private val machine = ConfigurationStateMachine().apply { decide(change("first", 0, base = BASE)) }

    private fun paths(request: ChangeRequest): List<String> {
        val response = machine.decide(request)
        assertEquals(ChangeOutcome.INVALID, response.outcome)
        assertEquals(Revision(1), machine.configuration.value.revision)
        return response.violations.map { it.path }
    }

    @Nested
    inner class `A change based on another revision than the current one` {
        @Test
        fun `is rejected with the winning change, and changes nothing`() {
            val won = machine.decide(change("mine", 1, out = listOf("bergen-a")))
            val lost = machine.decide(change("yours", 1, out = listOf("bergen-b")))
            assertEquals(ChangeOutcome.ACCEPTED, won.outcome)
            assertEquals(ChangeOutcome.CONFLICT, lost.outcome)
            assertEquals(ChangeId("mine"), lost.winner?.change)
            assertEquals("author of mine", lost.winner?.author)
            assertEquals(listOf(ZoneId("bergen-a")), machine.configuration.value.zonesOut)
        }

        @Test
        fun `is rejected also if that is a future revision`() {
            assertEquals(ChangeOutcome.CONFLICT, machine.decide(change("early", 7, out = listOf("bergen-a"))).outcome)
        }
    }

    @Nested
    inner class `A resent change` {
        @Test
        fun `gets its first response and is applied once`() {
            val request = change("mine", 1, out = listOf("bergen-a"))
            val first = machine.decide(request)
            machine.decide(change("next", 2, back = listOf("bergen-a")))
            assertEquals(first, machine.decide(request))
            assertEquals(first, machine.precheck(request))
            assertEquals(Revision(3), machine.configuration.value.revision)
            assertEquals(emptyList(), machine.configuration.value.zonesOut)
        }

        @Test
        fun `is recognized when its JSON keys are in another order`() {
            val request = change("ordered", 1, overlays = mapOf("ogun" to json("""{"teams":{"a":{},"b":{}}}""")))
            val first = machine.decide(request)
            assertEquals(first, machine.decide(request.copy(overlays = mapOf("ogun" to json("""{"teams":{"b":{},"a":{}}}""")))))
        }

        @Test
        fun `is invalid if the id was used for another change`() {
            machine.decide(change("mine", 1, out = listOf("bergen-a")))
            val other = machine.decide(change("mine", 2, out = listOf("bergen-b")))
            assertEquals(ChangeOutcome.INVALID, other.outcome)
            assertEquals("$.change", other.violations.single().path)
        }

        @Test
        fun `is not applied again when it is no longer kept`() {
            val small = ConfigurationStateMachine(maxDecidedChanges = 2)
            val request = change("first", 0, base = BASE)
            small.decide(request)
            repeat(3) { small.decide(change("c$it", 1L + it, out = listOf("sagamu"))) }
            assertNull(small.answer(request.change))
            assertEquals(ChangeOutcome.CONFLICT, small.decide(request).outcome)
            assertEquals(Revision(4), small.configuration.value.revision)
        }
    }

    @Nested
    inner class `The violations of an invalid change are listed with their paths` {
        @Test
        fun `in the base file`() {
            val base = json("""{"services":{"Bad Id":{}},"sites":{"s":{"zones":["z","z"]}}}""")
            assertEquals(listOf("$.base.services['Bad Id']", "$.base.sites.s.zones[1]"), paths(change("c", 1, base = base)))
            val wrong = json("""{"services":{"a":{"slots":0}},"sites":{"s":{"zones":[]}},"x":1}""")
            val found = paths(change("d", 1, base = wrong))
            assertTrue(found.containsAll(listOf("$.base.services.a.slots", "$.base.sites.s.zones")), found.toString())
        }

        @Test
        fun `in the merged configuration of a site`() {
            val overlay = json("""{"services":{"permit-desk":{"slots":0}}}""")
            assertEquals(
                listOf("$.overlays.ogun.services['permit-desk'].slots"),
                paths(change("c", 1, overlays = mapOf("ogun" to overlay))),
            )
        }

        @Test
        fun `in an overlay for an unknown site, or one that changes sites`() {
            assertEquals(listOf("$.overlays.mars"), paths(change("c", 1, overlays = mapOf("mars" to json("""{"teams":{}}""")))))
            val overlay = json("""{"sites":{"ogun":{"zones":["ikorodu"]}}}""")
            assertEquals(listOf("$.overlays.ogun.sites"), paths(change("d", 1, overlays = mapOf("ogun" to overlay))))
        }

        @Test
        fun `in the zones`() {
            assertEquals(listOf("$.zonesOut[1]"), paths(change("c", 1, out = listOf("sagamu", "nowhere"))))
            assertEquals(listOf("$.zonesIn[0]"), paths(change("d", 1, out = listOf("sagamu"), back = listOf("sagamu"))))
        }

        @Test
        fun `when it removes a zone that is out of service`() {
            machine.decide(change("out", 1, out = listOf("sagamu")))
            val without = json("""{"services":{},"sites":{"vestland":{"zones":["bergen-a"]}}}""")
            assertEquals(listOf("$.base.sites"), machine.decide(change("c", 2, base = without)).violations.map { it.path })
            val both = change("d", 2, base = without, back = listOf("sagamu"))
            assertEquals(ChangeOutcome.ACCEPTED, machine.decide(both).outcome)
        }
    }

    @Nested
    inner class `A snapshot` {
        @Test
        fun `restores the configuration, the responses and the winners`() {
            val overlay = mapOf("ogun" to json("""{"services":{"permit-desk":{"slots":null}}}"""))
            val first = machine.decide(change("mine", 1, overlays = overlay, out = listOf("sagamu")))
            val copy = ConfigurationStateMachine()
            copy.restore(machine.snapshot())
            assertEquals(machine.configuration.value, copy.configuration.value)
            assertEquals(machine.snapshot(), copy.snapshot())
            assertEquals(first, copy.answer(ChangeId("mine")))
            assertEquals(ChangeId("mine"), copy.decide(change("late", 1)).winner?.change)
        }
    }

    @Nested
    inner class `Concurrent operators` {
        @Test
        fun `get exactly one accepted change per revision, even if requests are resent`() =
            forEachSeed { random ->
                val machine = ConfigurationStateMachine().apply { decide(change("first", 0, base = BASE)) }
                val sent = mutableListOf<Pair<ChangeRequest, ChangeResponse>>()
                repeat(30) { step ->
                    val known = machine.configuration.value.revision.value
                    val again = sent.randomOrNull(random)?.takeIf { random.nextInt(3) == 0 }
                    val stale = (known - random.nextLong(2)).coerceAtLeast(0)
                    val request = again?.first ?: change("c$step", stale, out = listOf(listOf("bergen-a", "sagamu").random(random)))
                    val response = machine.decide(request)
                    again?.let { assertEquals(it.second, response) } ?: sent.add(request to response)
                    if (again != null) assertEquals(known, machine.configuration.value.revision.value)
                }
                val accepted = sent.map { it.second }.filter { it.outcome == ChangeOutcome.ACCEPTED }
                assertEquals(accepted.map { it.revision }.toSet().size, accepted.size)
                sent.filter { it.second.outcome == ChangeOutcome.CONFLICT }.forEach { (request, response) ->
                    val next = request.basedOn.next()
                    val winner = accepted.find { it.revision == next }?.change ?: ChangeId("first")
                    assertEquals(winner, response.winner?.change)
                }
            }
    }
}
