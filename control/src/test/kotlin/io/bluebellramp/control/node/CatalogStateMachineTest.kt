package io.bluebellramp.control.node

import io.bluebellramp.core.WireJson
import io.bluebellramp.core.ZoneId
import io.bluebellramp.messages.Catalog
import kotlin.test.Test
import kotlin.test.assertEquals

class CatalogStateMachineTest {
    private val machine = CatalogStateMachine()
    private var index = 0L

    private fun catalog(
        number: Long,
        digest: String = "d$number",
    ) = Catalog(number = number, digest = digest, queues = emptyList(), services = emptyList(), document = "text $digest")

    private fun apply(command: CatalogCommand) = machine.apply(++index, WireJson.encodeToString(command))

    private fun put(
        number: Long,
        digest: String = "d$number",
    ) = apply(CatalogCommand(catalog = catalog(number, digest)))

    @Test
    fun `the highest number is in force, regardless of the order`() {
        assertEquals("IN_FORCE", put(5))
        assertEquals("OVERTAKEN", put(3))
        assertEquals("IN_FORCE", put(9))
        assertEquals(
            9,
            machine.state.value.catalog
                ?.number,
        )
    }

    @Test
    fun `resending the catalog in force succeeds and changes nothing`() {
        put(5)
        val before = machine.state.value
        assertEquals("IN_FORCE", put(5))
        assertEquals(before, machine.state.value)
    }

    @Test
    fun `a different catalog with the number in force is refused and not stored`() {
        put(5)
        assertEquals("CONFLICT", put(5, digest = "other"))
        assertEquals(
            "text d5",
            machine.state.value.catalog
                ?.document,
        )
    }

    @Test
    fun `taking a zone out of service and returning it are idempotent`() {
        val zone = ZoneId("z")
        repeat(2) { assertEquals("IN_FORCE", apply(CatalogCommand(zoneOut = zone))) }
        assertEquals(listOf(zone), machine.state.value.zonesOut)
        repeat(2) { assertEquals("IN_FORCE", apply(CatalogCommand(zoneIn = zone))) }
        assertEquals(emptyList(), machine.state.value.zonesOut)
    }

    @Test
    fun `a read changes nothing`() {
        put(5)
        val before = machine.state.value
        apply(CatalogCommand())
        assertEquals(before, machine.state.value)
    }

    @Test
    fun `a snapshot restores the whole state`() {
        put(5)
        apply(CatalogCommand(zoneOut = ZoneId("z")))
        val copy = CatalogStateMachine()
        copy.restore(machine.snapshot())
        assertEquals(machine.state.value, copy.state.value)
    }
}
