package io.bluebellramp.control.node

import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.io.TempDir
import java.nio.file.Path
import kotlin.test.Test
import kotlin.test.assertContains
import kotlin.test.assertIs

/** Four controls, of which the second seed has no disk. */
class SeedWithoutDiskTest {
    @TempDir
    lateinit var folder: Path
    private val controls by lazy { LoopbackCluster(folder, 4, withoutDisk = setOf(1)) }

    @AfterEach
    fun stopAll() = controls.close()

    @Test
    fun `a seed without a disk does not prevent the others from founding the log`() {
        controls.hosts.forEach { controls.start(it) }
        controls.eventually("a zone is taken out") { controls.takeZoneOut("z1") != null }
        controls.eventually("all three with a disk vote") { controls.allKnowVoters(3) }
        controls.eventually("operators are redirected") { controls.read(controls.hosts[1]) is OperatorResult.LedBy }
        val answer = assertIs<OperatorResult.LedBy>(controls.read(controls.hosts[1]))
        assertContains(controls.hosts - controls.hosts[1], answer.host)
    }
}
