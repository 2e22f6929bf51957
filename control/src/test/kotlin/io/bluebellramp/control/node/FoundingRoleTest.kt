package io.bluebellramp.control.node

import io.bluebellramp.core.Address
import io.bluebellramp.core.MemberId
import io.bluebellramp.messages.Directory
import io.bluebellramp.messages.MemberAddress
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.io.TempDir
import java.nio.file.Path
import java.util.concurrent.TimeUnit
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNull
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

class FoundingRoleTest {
    private val self = Address("10.0.0.1:1")
    private val second = Address("10.0.0.2:1")
    private val third = Address("10.0.0.3:1")
    private val founders = listOf(self, second, third)

    private fun directory(
        founders: List<Address> = emptyList(),
        controls: List<MemberAddress> = emptyList(),
    ) = Directory(controls = controls, entries = emptyList(), founders = founders)

    private fun role(
        vararg directories: Pair<Address, Directory>,
        sinceStart: Duration = 1.seconds,
    ) = foundingRoleOfRestarted(self, directories.toMap(), sinceStart)

    @Nested
    inner class Decision {
        @Test
        fun `a founder founds once all others wait for it`() {
            assertNull(role(second to directory(founders)))
            assertNull(role(second to directory(founders), third to directory(), sinceStart = 60.seconds))
            assertEquals(FoundingRole.Found(founders), role(second to directory(founders), third to directory(founders.reversed())))
        }

        @Test
        fun `founders that do not agree, or wait for others, are not joined by one more`() {
            assertNull(role(second to directory(founders), third to directory(listOf(self, third))))
            assertNull(role(second to directory(listOf(second, third)), third to directory(listOf(second, third))))
        }

        @Test
        fun `a member of a founded cluster means that the disk was lost`() {
            val member = MemberAddress(MemberId("m"), third)
            assertEquals(FoundingRole.Join, role(second to directory(founders), third to directory(controls = listOf(member))))
        }

        @Test
        fun `a process that nobody waits for joins after a while`() {
            assertNull(role(second to directory()))
            assertEquals(FoundingRole.Join, role(second to directory(), sinceStart = 10.seconds))
        }
    }

    @Nested
    inner class Processes {
        @TempDir
        lateinit var folder: Path
        private val controls by lazy { LoopbackCluster(folder, 3) }

        @AfterEach
        fun stopAll() = controls.close()

        // Guards against a cluster that never forms after a founder was killed before it had stored its identity.
        @Test
        fun `a founder that was killed at its first start founds with the others`() {
            val (first, second, restarted) = controls.hosts
            controls.start(first)
            controls.start(second)
            TimeUnit.MILLISECONDS.sleep(300)
            controls.start(restarted, isFounding = false)
            controls.eventually("a zone is taken out") { controls.takeZoneOut("z1") != null }
            controls.eventually("all three vote") { controls.allKnowVoters(3) }
            controls.loseDisk(restarted)
            controls.eventually("it is a voter again") { controls.isVoterAgain(restarted) }
            controls.eventually("the zones are read back") { controls.takeZoneOut("z2")?.size == 2 }
        }

        @Test
        fun `two seeds that are not told to found the cluster found none`() {
            val (first, second, third) = controls.hosts
            controls.start(first)
            controls.start(second, isFounding = false)
            controls.start(third, isFounding = false)
            TimeUnit.SECONDS.sleep(3)
            assertNull(controls.takeZoneOut("z1"))
        }
    }

    private fun LoopbackCluster.loseDisk(host: String) {
        stop(host)
        deleteDisk(host)
        start(host, isFounding = false)
    }
}
