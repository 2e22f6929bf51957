package io.bluebellramp.cli

import kotlinx.serialization.json.Json
import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertEquals

class JsonDifferencesTest {
    private class Case(
        val old: String,
        val new: String,
        val lines: List<String>,
    )

    @Nested
    inner class `Two versions of a base file` {
        private val cases =
            listOf(
                Case("""{"a": 1}""", """{"a": 1}""", emptyList()),
                Case("""{"a": 1}""", """{"a": 2}""", listOf("~ $.a: 1 -> 2")),
                Case("""{"a": {"b": 1}}""", """{"a": {"b": 1, "c": 2}}""", listOf("+ $.a.c: 2")),
                Case("""{"a": {"b": 1}}""", """{"a": {}}""", listOf("- $.a.b: 1")),
                Case("""{"a": [1]}""", """{"a": [1, 2]}""", listOf("~ $.a: [1] -> [1,2]")),
            )

        @Test
        fun `differ in one line per JSON path`() {
            for (case in cases) {
                assertEquals(case.lines, jsonDifferences(Json.parseToJsonElement(case.old), Json.parseToJsonElement(case.new), "$"))
            }
        }
    }
}
