package io.bluebellramp.runtime

import io.bluebellramp.messages.AgentSettings
import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs

class SettingsReaderTest {
    private val reader = SettingsReader("AgentSettings", AgentSettings.serializer())

    private val valid = """{"agent": "a", "site": "s", "zone": "z", "listen": "127.0.0.1:1", "entries": ["127.0.0.1:2"]}"""

    private fun violationPaths(text: String) = assertIs<SettingsResult.Invalid>(reader.parse(text)).violations.map { it.path }.toSet()

    @Nested
    inner class `Settings with errors` {
        @Test
        fun `are reported all at once, each with its path`() {
            val text = """{"agent": "A B", "zone": 7, "listen": "nowhere", "entries": [], "colour": "red"}"""
            assertEquals(setOf("$", "$.agent", "$.zone", "$.listen", "$.entries"), violationPaths(text))
        }

        @Test
        fun `that are not JSON are reported with their line`() {
            val violations = assertIs<SettingsResult.Invalid>(reader.parse("{\n\"agent\": ")).violations
            assertEquals("$", violations.single().path)
            assert("line 2" in violations.single().message) { violations.single().message }
        }

        @Test
        fun `that are empty are reported`() = assertEquals(setOf("$"), violationPaths(""))
    }

    @Nested
    inner class `Valid settings` {
        @Test
        fun `are read with their defaults`() {
            val settings = assertIs<SettingsResult.Valid<AgentSettings>>(reader.parse(valid)).settings
            assertEquals(2000, settings.announcementLifeMillis)
        }
    }
}
