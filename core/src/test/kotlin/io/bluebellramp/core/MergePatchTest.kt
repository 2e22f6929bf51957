package io.bluebellramp.core

import kotlinx.serialization.json.Json
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import kotlin.test.assertEquals

class MergePatchTest {
    @ParameterizedTest(name = "{0} patched by {1} is {2}")
    @CsvSource(
        delimiter = '|',
        value = [
            """{"a":"b"}               | {"a":"c"}                | {"a":"c"}""",
            """{"a":"b"}               | {"b":"c"}                | {"a":"b","b":"c"}""",
            """{"a":"b"}               | {"a":null}               | {}""",
            """{"a":"b","b":"c"}       | {"a":null}               | {"b":"c"}""",
            """{"a":["b"]}             | {"a":"c"}                | {"a":"c"}""",
            """{"a":"c"}               | {"a":["b"]}              | {"a":["b"]}""",
            """{"a":{"b":"c"}}         | {"a":{"b":"d","c":null}} | {"a":{"b":"d"}}""",
            """{"a":[{"b":"c"}]}       | {"a":[1]}                | {"a":[1]}""",
            """{"e":null}              | {"a":1}                  | {"e":null,"a":1}""",
            """{}                      | {"a":{"bb":{"ccc":null}}} | {"a":{"bb":{}}}""",
        ],
    )
    fun `a patch is applied as RFC 7396 specifies`(
        base: String,
        patch: String,
        expected: String,
    ) = assertEquals(Json.parseToJsonElement(expected), mergePatch(Json.parseToJsonElement(base), Json.parseToJsonElement(patch)))
}
