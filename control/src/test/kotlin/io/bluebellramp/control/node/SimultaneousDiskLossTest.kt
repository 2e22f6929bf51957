package io.bluebellramp.control.node

import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.io.TempDir
import java.nio.file.Path
import kotlin.test.Test

/** Six controls, of which any two may lose their disks while all processes are stopped. */
class SimultaneousDiskLossTest {
    @TempDir
    lateinit var folder: Path
    private val controls by lazy { LoopbackCluster(folder, 6, toleratedLosses = 2) }

    @AfterEach
    fun stopAll() = controls.close()

    @Test
    fun `acknowledged changes survive the loss of two disks while all processes are down`() {
        controls.hosts.forEach { controls.start(it) }
        controls.eventually("five of six vote") { controls.allKnowVoters(5) }
        controls.eventually("a zone is taken out") { controls.takeZoneOut("z1") != null }
        controls.hosts.forEach { controls.stop(it) }
        val lost = controls.hosts.take(2)
        lost.forEach { controls.deleteDisk(it) }
        controls.hosts.forEach { controls.start(it, isFounding = false) }
        controls.eventually("the zone is read back") { controls.takeZoneOut("z2")?.size == 2 }
        controls.eventually("five vote again") { controls.allKnowVoters(5) }
    }
}
