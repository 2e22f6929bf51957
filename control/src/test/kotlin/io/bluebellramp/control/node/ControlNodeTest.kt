package io.bluebellramp.control.node

import io.bluebellramp.core.ZoneId
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.io.TempDir
import java.nio.file.Path
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs

/** Tests three control processes, each on its own loopback address. */
class ControlNodeTest {
    @TempDir
    lateinit var folder: Path
    private val controls by lazy { LoopbackCluster(folder, 3) }
    private val hosts get() = controls.hosts

    @AfterEach
    fun stopAll() = controls.close()

    @Test
    fun `a member that lost its disk joins again, and the cluster then tolerates the loss of another member`() {
        hosts.forEach { controls.start(it) }
        controls.eventually("a zone is taken out") { controls.takeZoneOut("z1") != null }
        val lost = hosts[2]
        controls.stop(lost)
        controls.deleteDisk(lost)
        controls.start(lost, isFounding = false)
        controls.eventually("the member is a voter again") { controls.isVoterAgain(lost) }
        controls.stop(hosts[1])
        controls.eventually("the two remaining members commit a change") { controls.takeZoneOut("z2") != null }
        assertEquals(listOf("z1", "z2"), assertIs<List<ZoneId>>(controls.takeZoneOut("z2")).map { it.value })
    }
}
