package io.bluebellramp.control.node

import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.io.TempDir
import java.nio.file.Path
import kotlin.test.Test
import kotlin.test.assertNotNull
import kotlin.time.Duration.Companion.seconds

/** Three controls that lose their disks one after the other, each once the former one has been back for the time it is given. */
class DisksLostInARowTest {
    @TempDir
    lateinit var folder: Path
    private val controls by lazy { LoopbackControls(folder, 3) }

    @AfterEach
    fun stopAll() = controls.close()

    private fun loseDiskOf(host: String) {
        val former = controls.voterId(host).orEmpty()
        controls.stop(host)
        controls.loseDisk(host)
        controls.start(host, isFounding = false)
        controls.eventually("$host is a voter again", CATCH_UP) { controls.isVoterAnew(host, former) }
    }

    @Test
    fun `the majority is not lost when the leader loses its disk three times in a row`() {
        controls.hosts.forEach { controls.start(it) }
        controls.eventually("a zone is taken out") { controls.takeOut("z0") != null }
        repeat(3) { loseDiskOf(assertNotNull(controls.leader("z$it"))) }
        controls.eventually("the zones are read back") { controls.takeOut("z3")?.size == 4 }
    }

    @Test
    fun `the majority is not lost when each control loses its disk`() {
        controls.hosts.forEach { controls.start(it) }
        controls.eventually("a zone is taken out") { controls.takeOut("z0") != null }
        controls.hosts.forEach { loseDiskOf(it) }
        controls.eventually("the zones are read back") { controls.takeOut("z1")?.size == 2 }
    }

    private companion object {
        /** The next disk may be lost once a VM has been back for this long. */
        val CATCH_UP = 4.seconds
    }
}
