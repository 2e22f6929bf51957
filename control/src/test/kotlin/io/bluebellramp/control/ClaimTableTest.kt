package io.bluebellramp.control

import io.bluebellramp.core.Address
import io.bluebellramp.core.EntryId
import io.bluebellramp.core.IncarnationId
import io.bluebellramp.core.MemberId
import io.bluebellramp.core.SubmissionId
import io.bluebellramp.messages.Claim
import io.bluebellramp.messages.ClaimHolder
import io.bluebellramp.messages.ClaimRelease
import io.bluebellramp.messages.ClaimRequest
import io.bluebellramp.messages.ClaimVerdict
import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertNull
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds
import kotlin.time.toJavaDuration

internal val LIFE = 2.seconds

internal fun holder(name: String) = ClaimHolder(EntryId(name), IncarnationId("$name-1"), Address("127.0.0.1:7000"))

internal fun members(vararg names: String) = names.map(::MemberId).toSet()

internal fun digest(of: Char) = "$of".repeat(64)

class ClaimTableTest {
    private val clock = ManualClock()
    private val table = table("m1")

    private fun table(name: String) = ClaimTable(MemberId(name), clock, LIFE).apply { join(1, members("m1", "m2", "m3")) }

    private fun submission(age: Duration = Duration.ZERO) = SubmissionId.create(clock.wall() - age.toJavaDuration())

    private fun ClaimTable.ask(
        id: SubmissionId,
        by: String,
        digest: Char = 'a',
        takeover: String? = null,
        version: Long = 1,
    ): ClaimVerdict? =
        claim(
            ClaimRequest(
                version,
                holder(by),
                listOf(
                    Claim(
                        id,
                        digest(digest),
                        takeover?.let {
                            holder(it).incarnation
                        },
                    ),
                ),
            ),
        ).verdicts.singleOrNull()

    private fun ClaimTable.copyFrom(
        name: String,
        other: ClaimTable,
    ) = merge(MemberId(name), other.pages(need))

    private fun waitUntilFresh() {
        clock.elapsed += ClaimTable.FUTURE_SLACK + 1.seconds
    }

    @Nested
    inner class `A claim` {
        init {
            waitUntilFresh()
        }

        @Test
        fun `is held by the first claimant, who may ask again`() {
            val id = submission()
            assertEquals(true, table.ask(id, "a")?.granted)
            assertEquals(true, table.ask(id, "a")?.granted)
            val second = table.ask(id, "b")
            assertEquals(ClaimVerdict(granted = false, holder = holder("a"), digest = digest('a')), second)
        }

        @Test
        fun `with another body is refused to the holder too`() {
            val id = submission()
            table.ask(id, "a")
            assertEquals(ClaimVerdict(granted = false, holder = holder("a"), digest = digest('a')), table.ask(id, "a", digest = 'b'))
        }

        @Test
        fun `is taken over from the named incarnation only`() {
            val id = submission()
            table.ask(id, "a")
            assertEquals(false, table.ask(id, "c", takeover = "b")?.granted)
            assertEquals(true, table.ask(id, "b", takeover = "a")?.granted)
            assertEquals(holder("b"), table.ask(id, "a")?.holder)
        }

        @Test
        fun `is released by its holder only`() {
            val id = submission()
            table.ask(id, "a")
            table.release(ClaimRelease(holder("b").incarnation, listOf(id)))
            assertEquals(false, table.ask(id, "b")?.granted)
            table.release(ClaimRelease(holder("a").incarnation, listOf(id)))
            assertEquals(true, table.ask(id, "b")?.granted)
        }

        @Test
        fun `on one submission too many is not granted, and those that are held still are`() {
            val full = ClaimTable(MemberId("m1"), clock, LIFE, isFounder = true, mostClaims = 1).apply { join(1, members("m1")) }
            val id = submission()
            assertEquals(true, full.ask(id, "a")?.granted)
            assertEquals(ClaimVerdict(granted = false), full.ask(submission(), "a"))
            assertEquals(true, full.ask(id, "a")?.granted)
        }

        @Test
        fun `counted in another membership gets no verdict`() {
            assertNull(table.ask(submission(), "a", version = 2))
        }

        @Test
        fun `on an id that is expired or from the future gets no holder`() {
            waitUntilFresh()
            clock.elapsed += 11.minutes
            assertEquals(ClaimVerdict(granted = false), table.ask(submission(age = 10.minutes), "a"))
            assertEquals(ClaimVerdict(granted = false), table.ask(submission(age = (-6).seconds), "a"))
            assertEquals(true, table.ask(submission(age = 9.minutes), "a")?.granted)
        }

        @Test
        fun `is forgotten after its life and never granted again`() {
            val id = submission()
            table.ask(id, "a")
            clock.elapsed += 12.minutes
            assertEquals(ClaimVerdict(granted = false), table.ask(id, "b"))
            assertEquals(0, table.size)
        }
    }

    @Nested
    inner class `When the members change` {
        private val before = members("m1", "m2", "m3")
        private val after = members("m1", "m2", "m4")
        private val tables = members("m1", "m2", "m4").associateWith { ClaimTable(it, clock, LIFE, isFounder = true) }
        private val old = submission()

        private fun of(name: String) = tables.getValue(MemberId(name))

        init {
            tables.values.forEach { it.join(1, before) }
            of("m1").ask(old, "a")
        }

        @Test
        fun `a new member judges an old id only once it copied the others in the new membership`() {
            clock.elapsed += ClaimTable.CLAIM_ROUND
            of("m4").join(2, after)
            assertEquals(ClaimVerdict(granted = false), of("m4").ask(old, "b", version = 2))
            assertFalse(of("m4").copyFrom("m1", of("m1")), "it may still grant in the old membership")
            listOf("m1", "m2").forEach { of(it).join(2, after) }
            listOf("m1", "m2").forEach { assertTrue(of("m4").copyFrom(it, of(it))) }
            assertEquals(holder("a"), of("m4").ask(old, "b", version = 2)?.holder)
        }

        @Test
        fun `ids made later are judged once no entry can count in the old membership`() {
            of("m2").join(2, after)
            clock.elapsed += ClaimTable.FUTURE_SLACK + LIFE
            assertEquals(ClaimVerdict(granted = false), of("m2").ask(submission(), "b", version = 2))
            clock.elapsed += ClaimTable.CLAIM_ROUND + 1.seconds
            assertEquals(true, of("m2").ask(submission(), "b", version = 2)?.granted)
        }

        @Test
        fun `a member that restarted copies only from members that have copied all themselves`() {
            listOf("m1", "m2").forEach { of(it).join(2, after) }
            val restarted = ClaimTable(MemberId("m4"), clock, LIFE).apply { join(2, after) }
            clock.elapsed += ClaimTable.CLAIM_ROUND
            assertFalse(restarted.copyFrom("m1", of("m1")))
            assertTrue(of("m1").copyFrom("m2", of("m2")))
            assertTrue(restarted.copyFrom("m1", of("m1")))
        }

        @Test
        fun `again before the claims were copied, both old memberships still count`() {
            of("m1").join(2, after)
            of("m1").join(3, members("m1", "m4", "m5"))
            clock.elapsed += ClaimTable.CLAIM_ROUND
            val fresh = ClaimTable(MemberId("m5"), clock, LIFE, isFounder = true).apply { join(3, members("m1", "m4", "m5")) }
            assertTrue(of("m1").copyFrom("m5", fresh))
            assertEquals(ClaimVerdict(granted = false), of("m1").ask(old, "b", version = 3))
        }
    }

    @Nested
    inner class `A founder of a new cluster` {
        @Test
        fun `judges at once, and again only what it copied after the members changed`() {
            val founder = ClaimTable(MemberId("m1"), clock, LIFE, isFounder = true).apply { join(1, members("m1", "m2", "m3")) }
            val id = submission()
            assertEquals(true, founder.ask(id, "a")?.granted)
            founder.join(2, members("m1", "m2", "m4"))
            assertEquals(ClaimVerdict(granted = false), founder.ask(id, "a", version = 2))
            clock.elapsed += ClaimTable.CLAIM_ROUND
            assertEquals(members("m2", "m4"), founder.missing())
        }
    }

    @Nested
    inner class `A copy` {
        private fun table(claims: Int) =
            ClaimTable(MemberId("m2"), clock, LIFE, isFounder = true).apply {
                join(1, members("m1", "m2", "m3"))
                repeat(claims) { ask(submission(age = (it % 300).seconds), "a") }
            }

        @Test
        fun `of few claims is one page, however far apart they are`() {
            val pages = table(claims = 300).pages(CopyNeed.WHOLE)
            assertEquals(listOf(300), pages.map { it.claims.size })
        }

        @Test
        fun `of many claims has several pages that miss none and repeat none`() {
            val pages = table(claims = 5_000).pages(CopyNeed.WHOLE)
            assertTrue(pages.size in 2..4, "${pages.size} pages")
            assertEquals(
                5_000,
                pages
                    .flatMap { it.claims }
                    .map { it.submission }
                    .distinct()
                    .size,
            )
            assertEquals(5_000, pages.sumOf { it.claims.size })
        }
    }

    @Nested
    inner class `A member that restarted` {
        @Test
        fun `takes no copy beyond its bound, and stays incomplete`() {
            waitUntilFresh()
            val other = ClaimTable(MemberId("m2"), clock, LIFE, isFounder = true).apply { join(1, members("m1", "m2", "m3")) }
            other.ask(submission(), "a")
            other.ask(submission(age = 1.minutes), "a")
            val restarted = ClaimTable(MemberId("m1"), clock, LIFE, mostClaims = 1).apply { join(1, members("m1", "m2", "m3")) }
            waitUntilFresh()
            assertFalse(restarted.copyFrom("m2", other))
            assertEquals(1, restarted.size)
            assertFalse(restarted.isWhole())
        }

        @Test
        fun `judges older ids only when every part was copied in the present membership`() {
            waitUntilFresh()
            val id = submission()
            val other = ClaimTable(MemberId("m2"), clock, LIFE, isFounder = true).apply { join(1, members("m1", "m2", "m3")) }
            other.ask(id, "a")
            val restarted = table("m1")
            waitUntilFresh()
            assertTrue(other.pages(CopyNeed.WHOLE).all(restarted::mergePart))
            assertNull(restarted.ask(id, "b")?.holder)
            assertFalse(restarted.finishCopy(MemberId("m2"), version = 0))
            assertFalse(restarted.isWhole())
            assertTrue(restarted.finishCopy(MemberId("m2"), version = 1))
            assertTrue(restarted.finishCopy(MemberId("m3"), version = 1))
            assertEquals(holder("a"), restarted.ask(id, "b")?.holder)
        }

        @Test
        fun `judges only ids made after its start, until it copied the claims of the others`() {
            val old = submission()
            val others = listOf("m2", "m3").associateWith { table(it) }
            waitUntilFresh()
            assertEquals(ClaimVerdict(granted = false), table.ask(old, "a"))
            assertEquals(true, table.ask(submission(), "a")?.granted)
            others.forEach { (name, other) -> assertFalse(table.copyFrom(name, other)) }
            clock.elapsed += 10.minutes
            assertTrue(others.values.all { it.isWhole() })
            assertTrue(table.isWhole())
        }

        @Test
        fun `knows the claims again once it copied every other member`() {
            clock.elapsed += 12.minutes
            val (second, third) = listOf(table("m2"), table("m3"))
            listOf(second, third).forEach { it.isWhole() }
            clock.elapsed += 12.minutes
            val id = submission()
            second.ask(id, "a")
            val restarted = table("m1")
            assertFalse(restarted.copyFrom("m2", second), "a round may still be counted")
            clock.elapsed += 1.seconds
            assertTrue(restarted.copyFrom("m2", second))
            assertFalse(restarted.isWhole())
            assertTrue(restarted.copyFrom("m3", third))
            assertEquals(holder("a"), restarted.ask(id, "b")?.holder)
        }

        @Test
        fun `grants nobody a submission that the others hold differently, until one gives up`() {
            val (second, third) = listOf(table("m2"), table("m3"))
            clock.elapsed += 12.minutes
            val id = submission()
            second.ask(id, "a")
            third.ask(id, "b")
            val restarted = table("m1")
            clock.elapsed += 1.seconds
            restarted.copyFrom("m2", second)
            restarted.copyFrom("m3", third)
            assertEquals(ClaimVerdict(granted = false), restarted.ask(id, "a"))
            restarted.release(ClaimRelease(holder("b").incarnation, listOf(id)))
            assertEquals(true, restarted.ask(id, "a")?.granted)
        }
    }
}
