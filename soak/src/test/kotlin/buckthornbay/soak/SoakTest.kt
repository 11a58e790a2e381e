package buckthornbay.soak

import java.io.File
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Tests a short soak with real router processes; `bin/soak` runs longer ones. */
class SoakTest {
    @Test
    fun shortSoakHasNoViolations() {
        val files = FleetFiles(File("../target/router/router-0.1.0-all.jar"), File("../target/soak/runs/seed-1"))
        val result = Soak(SoakSettings(seed = 1, seconds = 15), files).run()
        assertEquals(emptyList(), result.violations, result.faults.joinToString("\n"))
        assertTrue(result.answered > 100, "only ${result.answered} of ${result.requests} requests were answered")
    }
}
