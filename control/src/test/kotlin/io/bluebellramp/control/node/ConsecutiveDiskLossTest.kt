package io.bluebellramp.control.node

import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.io.TempDir
import java.nio.file.Path
import kotlin.test.Test
import kotlin.test.assertNotNull
import kotlin.time.Duration.Companion.seconds

/** Three controls lose their disks one after the other; each must be a voter again before the next one loses its disk. */
class ConsecutiveDiskLossTest {
    @TempDir
    lateinit var folder: Path
    private val controls by lazy { LoopbackCluster(folder, 3) }

    @AfterEach
    fun stopAll() = controls.close()

    private fun loseDiskOf(host: String) {
        val formerId = controls.voterId(host).orEmpty()
        controls.stop(host)
        controls.deleteDisk(host)
        controls.start(host, isFounding = false)
        controls.eventually("$host is a voter again", CATCH_UP_TIMEOUT) { controls.isVoterAgain(host, formerId) }
    }

    @Test
    fun `the majority is not lost when the leader loses its disk three times in a row`() {
        controls.hosts.forEach { controls.start(it) }
        controls.eventually("a zone is taken out") { controls.takeZoneOut("z0") != null }
        repeat(3) { loseDiskOf(assertNotNull(controls.leader("z$it"))) }
        controls.eventually("the zones are read back") { controls.takeZoneOut("z3")?.size == 4 }
    }

    @Test
    fun `the majority is not lost when each control loses its disk`() {
        controls.hosts.forEach { controls.start(it) }
        controls.eventually("a zone is taken out") { controls.takeZoneOut("z0") != null }
        controls.hosts.forEach { loseDiskOf(it) }
        controls.eventually("the zones are read back") { controls.takeZoneOut("z1")?.size == 2 }
    }

    private companion object {
        /** The next VM may be lost this long after the previous one has returned. */
        val CATCH_UP_TIMEOUT = 4.seconds
    }
}
