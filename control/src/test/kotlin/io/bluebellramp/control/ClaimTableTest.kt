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

internal val LEASE_DURATION = 2.seconds

internal fun holder(name: String) = ClaimHolder(EntryId(name), IncarnationId("$name-1"), Address("127.0.0.1:7000"))

internal fun members(vararg names: String) = names.map(::MemberId).toSet()

internal fun digest(of: Char) = "$of".repeat(64)

class ClaimTableTest {
    private val clock = ManualClock()
    private val table = table("m1")

    private fun table(name: String) =
        ClaimTable(MemberId(name), clock, LEASE_DURATION).apply { setMembership(1, members("m1", "m2", "m3")) }

    private fun submission(age: Duration = Duration.ZERO) = SubmissionId.create(clock.wall() - age.toJavaDuration())

    private fun ClaimTable.claimAs(
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
    ) = merge(MemberId(name), other.pages(copyRequirement))

    private fun waitUntilNewIdsAreDecided() {
        clock.elapsed += ClaimTable.MAX_CLOCK_SKEW + 1.seconds
    }

    @Nested
    inner class `A claim` {
        init {
            waitUntilNewIdsAreDecided()
        }

        @Test
        fun `is granted to the first claimant, which may claim again`() {
            val id = submission()
            assertEquals(true, table.claimAs(id, "a")?.granted)
            assertEquals(true, table.claimAs(id, "a")?.granted)
            val second = table.claimAs(id, "b")
            assertEquals(ClaimVerdict(granted = false, holder = holder("a"), digest = digest('a')), second)
        }

        @Test
        fun `with another digest is refused even to the holder`() {
            val id = submission()
            table.claimAs(id, "a")
            assertEquals(ClaimVerdict(granted = false, holder = holder("a"), digest = digest('a')), table.claimAs(id, "a", digest = 'b'))
        }

        @Test
        fun `is taken over from the named incarnation only`() {
            val id = submission()
            table.claimAs(id, "a")
            assertEquals(false, table.claimAs(id, "c", takeover = "b")?.granted)
            assertEquals(true, table.claimAs(id, "b", takeover = "a")?.granted)
            assertEquals(holder("b"), table.claimAs(id, "a")?.holder)
        }

        @Test
        fun `is released by its holder only`() {
            val id = submission()
            table.claimAs(id, "a")
            table.release(ClaimRelease(holder("b").incarnation, listOf(id)))
            assertEquals(false, table.claimAs(id, "b")?.granted)
            table.release(ClaimRelease(holder("a").incarnation, listOf(id)))
            assertEquals(true, table.claimAs(id, "b")?.granted)
        }

        @Test
        fun `on a new submission is refused when the table is full, and existing claims are renewed`() {
            val full =
                ClaimTable(
                    MemberId("m1"),
                    clock,
                    LEASE_DURATION,
                    isFounder = true,
                    maxClaims = 1,
                ).apply { setMembership(1, members("m1")) }
            val id = submission()
            assertEquals(true, full.claimAs(id, "a")?.granted)
            assertEquals(ClaimVerdict(granted = false), full.claimAs(submission(), "a"))
            assertEquals(true, full.claimAs(id, "a")?.granted)
        }

        @Test
        fun `under another membership gets no verdict`() {
            assertNull(table.claimAs(submission(), "a", version = 2))
        }

        @Test
        fun `on an expired or future id is refused without naming a holder`() {
            waitUntilNewIdsAreDecided()
            clock.elapsed += 11.minutes
            assertEquals(ClaimVerdict(granted = false), table.claimAs(submission(age = 10.minutes), "a"))
            assertEquals(ClaimVerdict(granted = false), table.claimAs(submission(age = (-6).seconds), "a"))
            assertEquals(true, table.claimAs(submission(age = 9.minutes), "a")?.granted)
        }

        @Test
        fun `expires after its lifetime and is never granted again`() {
            val id = submission()
            table.claimAs(id, "a")
            clock.elapsed += 12.minutes
            assertEquals(ClaimVerdict(granted = false), table.claimAs(id, "b"))
            assertEquals(0, table.size)
        }
    }

    @Nested
    inner class `When the members change` {
        private val before = members("m1", "m2", "m3")
        private val after = members("m1", "m2", "m4")
        private val tables = members("m1", "m2", "m4").associateWith { ClaimTable(it, clock, LEASE_DURATION, isFounder = true) }
        private val oldId = submission()

        private fun tableOf(name: String) = tables.getValue(MemberId(name))

        init {
            tables.values.forEach { it.setMembership(1, before) }
            tableOf("m1").claimAs(oldId, "a")
        }

        @Test
        fun `a new member decides an old id only after copying from the others in the new membership`() {
            clock.elapsed += ClaimTable.CLAIM_ROUND_TIMEOUT
            tableOf("m4").setMembership(2, after)
            assertEquals(ClaimVerdict(granted = false), tableOf("m4").claimAs(oldId, "b", version = 2))
            assertFalse(tableOf("m4").copyFrom("m1", tableOf("m1")), "the source may still grant under the old membership")
            listOf("m1", "m2").forEach { tableOf(it).setMembership(2, after) }
            listOf("m1", "m2").forEach { assertTrue(tableOf("m4").copyFrom(it, tableOf(it))) }
            assertEquals(holder("a"), tableOf("m4").claimAs(oldId, "b", version = 2)?.holder)
        }

        @Test
        fun `new ids are decided once no entry can count grants under the old membership`() {
            tableOf("m2").setMembership(2, after)
            clock.elapsed += ClaimTable.MAX_CLOCK_SKEW + LEASE_DURATION
            assertEquals(ClaimVerdict(granted = false), tableOf("m2").claimAs(submission(), "b", version = 2))
            clock.elapsed += ClaimTable.CLAIM_ROUND_TIMEOUT + 1.seconds
            assertEquals(true, tableOf("m2").claimAs(submission(), "b", version = 2)?.granted)
        }

        @Test
        fun `a restarted member copies only from complete members`() {
            listOf("m1", "m2").forEach { tableOf(it).setMembership(2, after) }
            val restarted = ClaimTable(MemberId("m4"), clock, LEASE_DURATION).apply { setMembership(2, after) }
            clock.elapsed += ClaimTable.CLAIM_ROUND_TIMEOUT
            assertFalse(restarted.copyFrom("m1", tableOf("m1")))
            assertTrue(tableOf("m1").copyFrom("m2", tableOf("m2")))
            assertTrue(restarted.copyFrom("m1", tableOf("m1")))
        }

        @Test
        fun `again before the claims are copied, both old memberships still count`() {
            tableOf("m1").setMembership(2, after)
            tableOf("m1").setMembership(3, members("m1", "m4", "m5"))
            clock.elapsed += ClaimTable.CLAIM_ROUND_TIMEOUT
            val fresh =
                ClaimTable(
                    MemberId("m5"),
                    clock,
                    LEASE_DURATION,
                    isFounder = true,
                ).apply { setMembership(3, members("m1", "m4", "m5")) }
            assertTrue(tableOf("m1").copyFrom("m5", fresh))
            assertEquals(ClaimVerdict(granted = false), tableOf("m1").claimAs(oldId, "b", version = 3))
        }
    }

    @Nested
    inner class `A founder of a new cluster` {
        @Test
        fun `decides at once, but after a membership change only once it has copied the others`() {
            val founder =
                ClaimTable(
                    MemberId("m1"),
                    clock,
                    LEASE_DURATION,
                    isFounder = true,
                ).apply { setMembership(1, members("m1", "m2", "m3")) }
            val id = submission()
            assertEquals(true, founder.claimAs(id, "a")?.granted)
            founder.setMembership(2, members("m1", "m2", "m4"))
            assertEquals(ClaimVerdict(granted = false), founder.claimAs(id, "a", version = 2))
            clock.elapsed += ClaimTable.CLAIM_ROUND_TIMEOUT
            assertEquals(members("m2", "m4"), founder.uncopiedMembers())
        }
    }

    @Nested
    inner class `A copy` {
        private fun table(claims: Int) =
            ClaimTable(MemberId("m2"), clock, LEASE_DURATION, isFounder = true).apply {
                setMembership(1, members("m1", "m2", "m3"))
                repeat(claims) { claimAs(submission(age = (it % 300).seconds), "a") }
            }

        @Test
        fun `of few claims is one page, even if their ids span a long time`() {
            val pages = table(claims = 300).pages(CopyRequirement.WHOLE)
            assertEquals(listOf(300), pages.map { it.claims.size })
        }

        @Test
        fun `of many claims has several pages without gaps or duplicates`() {
            val pages = table(claims = 5_000).pages(CopyRequirement.WHOLE)
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
    inner class `A restarted member` {
        @Test
        fun `copies no claims beyond its limit, and stays incomplete`() {
            waitUntilNewIdsAreDecided()
            val other =
                ClaimTable(
                    MemberId("m2"),
                    clock,
                    LEASE_DURATION,
                    isFounder = true,
                ).apply { setMembership(1, members("m1", "m2", "m3")) }
            other.claimAs(submission(), "a")
            other.claimAs(submission(age = 1.minutes), "a")
            val restarted =
                ClaimTable(
                    MemberId("m1"),
                    clock,
                    LEASE_DURATION,
                    maxClaims = 1,
                ).apply { setMembership(1, members("m1", "m2", "m3")) }
            waitUntilNewIdsAreDecided()
            assertFalse(restarted.copyFrom("m2", other))
            assertEquals(1, restarted.size)
            assertFalse(restarted.isComplete())
        }

        @Test
        fun `decides older ids only after all pages were copied under the current membership`() {
            waitUntilNewIdsAreDecided()
            val id = submission()
            val other =
                ClaimTable(
                    MemberId("m2"),
                    clock,
                    LEASE_DURATION,
                    isFounder = true,
                ).apply { setMembership(1, members("m1", "m2", "m3")) }
            other.claimAs(id, "a")
            val restarted = table("m1")
            waitUntilNewIdsAreDecided()
            assertTrue(other.pages(CopyRequirement.WHOLE).all(restarted::mergePage))
            assertNull(restarted.claimAs(id, "b")?.holder)
            assertFalse(restarted.finishCopy(MemberId("m2"), version = 0))
            assertFalse(restarted.isComplete())
            assertTrue(restarted.finishCopy(MemberId("m2"), version = 1))
            assertTrue(restarted.finishCopy(MemberId("m3"), version = 1))
            assertEquals(holder("a"), restarted.claimAs(id, "b")?.holder)
        }

        @Test
        fun `decides only ids created after its start, until it is complete`() {
            val oldId = submission()
            val others = listOf("m2", "m3").associateWith { table(it) }
            waitUntilNewIdsAreDecided()
            assertEquals(ClaimVerdict(granted = false), table.claimAs(oldId, "a"))
            assertEquals(true, table.claimAs(submission(), "a")?.granted)
            others.forEach { (name, other) -> assertFalse(table.copyFrom(name, other)) }
            clock.elapsed += 10.minutes
            assertTrue(others.values.all { it.isComplete() })
            assertTrue(table.isComplete())
        }

        @Test
        fun `knows the claims again after copying every other member`() {
            clock.elapsed += 12.minutes
            val (second, third) = listOf(table("m2"), table("m3"))
            listOf(second, third).forEach { it.isComplete() }
            clock.elapsed += 12.minutes
            val id = submission()
            second.claimAs(id, "a")
            val restarted = table("m1")
            assertFalse(restarted.copyFrom("m2", second), "an earlier claim round may still be counted")
            clock.elapsed += 1.seconds
            assertTrue(restarted.copyFrom("m2", second))
            assertFalse(restarted.isComplete())
            assertTrue(restarted.copyFrom("m3", third))
            assertEquals(holder("a"), restarted.claimAs(id, "b")?.holder)
        }

        @Test
        fun `refuses a submission with conflicting claims until one of them is released`() {
            val (second, third) = listOf(table("m2"), table("m3"))
            clock.elapsed += 12.minutes
            val id = submission()
            second.claimAs(id, "a")
            third.claimAs(id, "b")
            val restarted = table("m1")
            clock.elapsed += 1.seconds
            restarted.copyFrom("m2", second)
            restarted.copyFrom("m3", third)
            assertEquals(ClaimVerdict(granted = false), restarted.claimAs(id, "a"))
            restarted.release(ClaimRelease(holder("b").incarnation, listOf(id)))
            assertEquals(true, restarted.claimAs(id, "a")?.granted)
        }
    }
}
