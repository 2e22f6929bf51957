package io.bluebellramp.control.node

import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.io.TempDir
import java.nio.file.Path
import kotlin.test.Test
import kotlin.test.assertContains
import kotlin.test.assertIs

/** Four controls; the second seed has no disk. */
class SeedWithoutDiskTest {
    @TempDir
    lateinit var folder: Path
    private val controls by lazy { LoopbackControls(folder, 4, withoutDisk = setOf(1)) }

    @AfterEach
    fun stopAll() = controls.close()

    @Test
    fun `a seed without a disk does not keep the others from founding the log`() {
        controls.hosts.forEach { controls.start(it) }
        controls.eventually("a zone is taken out") { controls.takeOut("z1") != null }
        controls.eventually("all three with a disk vote") { controls.haveVoters(3) }
        controls.eventually("operators are sent on") { controls.read(controls.hosts[1]) is OperatorResult.LedBy }
        val answer = assertIs<OperatorResult.LedBy>(controls.read(controls.hosts[1]))
        assertContains(controls.hosts - controls.hosts[1], answer.host)
    }
}
