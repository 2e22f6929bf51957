package io.bluebellramp.control.node

import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.io.TempDir
import java.nio.file.Path
import kotlin.test.Test

/** Six controls of which any two may be lost with their disks at the same moment, while all others lose power. */
class TwoDisksLostTest {
    @TempDir
    lateinit var folder: Path
    private val controls by lazy { LoopbackControls(folder, 6, toleratedLosses = 2) }

    @AfterEach
    fun stopAll() = controls.close()

    @Test
    fun `what was acknowledged outlives two lost disks at the moment when all processes end`() {
        controls.hosts.forEach { controls.start(it) }
        controls.eventually("five of six vote") { controls.haveVoters(5) }
        controls.eventually("a zone is taken out") { controls.takeOut("z1") != null }
        controls.hosts.forEach { controls.stop(it) }
        val lost = controls.hosts.take(2)
        lost.forEach { controls.loseDisk(it) }
        controls.hosts.forEach { controls.start(it, isFounding = false) }
        controls.eventually("the zone is read back") { controls.takeOut("z2")?.size == 2 }
        controls.eventually("five vote again") { controls.haveVoters(5) }
    }
}
