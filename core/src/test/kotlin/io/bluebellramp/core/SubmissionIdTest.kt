package io.bluebellramp.core

import org.junit.jupiter.api.Nested
import java.time.Instant
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotNull
import kotlin.test.assertNull

class SubmissionIdTest {
    @Nested
    inner class `A new id` {
        @Test
        fun `contains its creation time and is well formed`() {
            val instant = Instant.parse("2026-05-06T07:08:09.123Z")
            val id = SubmissionId.create(instant)
            assertEquals(instant, id.instant)
            assertEquals(id, assertNotNull(SubmissionId.parse(id.value)))
        }
    }

    @Nested
    inner class `Malformed text` {
        private val malformed =
            listOf(
                "",
                "job-1",
                "0190163d-8694-4afa-8b3f-2d7f1e2b3c4d",
                "0190163D-8694-7AFA-8B3F-2D7F1E2B3C4D",
                "0190163d-8694-7afa-cb3f-2d7f1e2b3c4d",
                "0190163d-8694-7afa-8b3f-2d7f1e2b3c4d0",
            )

        @Test
        fun `is not accepted as an id`() = malformed.forEach { assertNull(SubmissionId.parse(it), it) }
    }
}
