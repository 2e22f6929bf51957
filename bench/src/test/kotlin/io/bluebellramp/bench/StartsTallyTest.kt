package io.bluebellramp.bench

import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse

class StartsTallyTest {
    private val tally = StartsTally()

    @Nested
    inner class `a task` {
        @Test
        fun `that started once in each of two jobs is counted once each`() {
            tally.add("a 0 0 task 1")
            tally.add("b 0 0 task 2")
            assertEquals("starts: 2 once, 0 twice", tally.summary())
        }

        @Test
        fun `that started under two attempts is counted as twice`() {
            tally.add("a 0 0 task 1")
            tally.add("a 0 1 task 2")
            tally.add("a 1 0 task 2")
            assertEquals("starts: 1 once, 1 twice", tally.summary())
        }

        @Test
        fun `is distinguished from a request with the same number`() {
            tally.add("a 0 0 task 1")
            tally.add("a 0 0 request 2")
            assertEquals(emptyList(), tally.repeated())
        }
    }

    @Nested
    inner class `a truncated line` {
        @Test
        fun `is not counted`() = assertFalse(tally.add("a 0 0"))
    }
}
