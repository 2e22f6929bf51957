package io.bluebellramp.control.node

import io.bluebellramp.core.WireJson
import io.bluebellramp.core.ZoneId
import io.bluebellramp.messages.Catalog
import kotlin.test.Test
import kotlin.test.assertEquals

class CatalogMachineTest {
    private val machine = CatalogMachine()
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
    fun `the highest number is in force, whatever the order`() {
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
    fun `a resend of the catalog in force is accepted again and changes nothing`() {
        put(5)
        val before = machine.state.value
        assertEquals("IN_FORCE", put(5))
        assertEquals(before, machine.state.value)
    }

    @Test
    fun `another catalog under the number in force is refused and not read back`() {
        put(5)
        assertEquals("CONFLICT", put(5, digest = "other"))
        assertEquals(
            "text d5",
            machine.state.value.catalog
                ?.document,
        )
    }

    @Test
    fun `zones go out and come back, again and again`() {
        val zone = ZoneId("z")
        repeat(2) { assertEquals("IN_FORCE", apply(CatalogCommand(zoneOut = zone))) }
        assertEquals(listOf(zone), machine.state.value.zonesOut)
        repeat(2) { assertEquals("IN_FORCE", apply(CatalogCommand(zoneIn = zone))) }
        assertEquals(emptyList(), machine.state.value.zonesOut)
    }

    @Test
    fun `a reading changes nothing`() {
        put(5)
        val before = machine.state.value
        apply(CatalogCommand())
        assertEquals(before, machine.state.value)
    }

    @Test
    fun `a snapshot brings back the whole state`() {
        put(5)
        apply(CatalogCommand(zoneOut = ZoneId("z")))
        val copy = CatalogMachine()
        copy.restore(machine.snapshot())
        assertEquals(machine.state.value, copy.state.value)
    }
}
