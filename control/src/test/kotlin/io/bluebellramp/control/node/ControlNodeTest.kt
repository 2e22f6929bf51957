package io.bluebellramp.control.node

import io.bluebellramp.core.ZoneId
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.io.TempDir
import java.nio.file.Path
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs

/** Three control processes on loopback, each at an address of its own. */
class ControlNodeTest {
    @TempDir
    lateinit var folder: Path
    private val controls by lazy { LoopbackControls(folder, 3) }
    private val hosts get() = controls.hosts

    @AfterEach
    fun stopAll() = controls.close()

    @Test
    fun `a member that lost its disk comes back at its address, and the others may lose one more then`() {
        hosts.forEach { controls.start(it) }
        controls.eventually("a zone is taken out") { controls.takeOut("z1") != null }
        val lost = hosts[2]
        controls.stop(lost)
        controls.loseDisk(lost)
        controls.start(lost, isFounding = false)
        controls.eventually("the member is a voter again") { controls.isVoterAnew(lost) }
        controls.stop(hosts[1])
        controls.eventually("the two that are left agree") { controls.takeOut("z2") != null }
        assertEquals(listOf("z1", "z2"), assertIs<List<ZoneId>>(controls.takeOut("z2")).map { it.value })
    }
}
