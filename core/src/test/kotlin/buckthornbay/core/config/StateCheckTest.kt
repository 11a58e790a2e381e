package buckthornbay.core.config

import buckthornbay.protocol.DesiredState
import buckthornbay.protocol.VersionedState
import buckthornbay.protocol.writeToml
import com.github.michaelbull.result.get
import com.github.michaelbull.result.getError
import java.io.File
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertNotNull
import kotlin.test.assertTrue

class StateCheckTest {
    private val examples = listOf("glenmorrach", "gulfmark").map { File("../examples/$it.toml").readText() }

    @Test
    fun examplesHaveTheExpectedNumberOfWorkspacesAndUpstreams() {
        for (text in examples) {
            val state = assertNotNull(readDesiredState(text).get())
            assertEquals(16, state.workspaces.size)
            assertEquals(11, state.upstreams.size)
        }
    }

    @Test
    fun encodedStateDecodesToTheSameState() {
        for (text in examples) {
            val state = assertNotNull(readDesiredState(text).get())
            assertEquals(state, readDesiredState(writeToml(state)).get())
        }
    }

    @Test
    fun allErrorsAreReportedTogetherWithTheirLines() {
        val problems = readDesiredState(
            """
            [[workspaces]]
            id = "a"
            partner = "p"
            share = 0.0
            keyHashes = ["short"]
            [[workspaces]]
            id = "a"
            partner = "p"
            share = 1.0
            keyHashes = []
            [[upstreams]]
            id = "u"
            service = "none"
            region = "r"
            zone = "z"
            url = "ftp://x"
            slots = 0
            """.trimIndent(),
        ).getError()
        assertEquals(listOf(4, 5, 7, 13, 16, 17), assertNotNull(problems).map { it.line })
    }

    @Test
    fun unknownMissingAndMistypedFieldsAreReportedWithTheirLines() {
        val problems = assertNotNull(
            readDesiredState(
                """
                [[workspaces]]
                id = "a"
                partner = 7
                shares = 1.0
                keyHashes = []
                """.trimIndent(),
            ).getError(),
        )
        assertTrue(problems.any { it.line == 3 && "must be a string" in it.message }, "$problems")
        assertTrue(problems.any { it.line == 4 && "unknown field" in it.message }, "$problems")
        assertTrue(problems.any { it.line == 1 && "missing field" in it.message && "share" in it.message }, "$problems")
    }

    @Test
    fun stateAboveTheMaximumSizeIsRejected() {
        val problems = assertNotNull(readDesiredState("# " + "x".repeat(MAX_STATE_BYTES)).getError())
        assertTrue("bytes" in problems.single().message)
    }

    @Test
    fun currentVersionNeverDecreases() {
        val adoption = StateAdoption()
        val offered = listOf(3L, 2L, 5L, 5L, 4L).map { adoption.offer(VersionedState(it, "apply-$it", DesiredState())) }
        assertEquals(listOf(true, false, true, false, false), offered)
        assertEquals(5, adoption.version)
        assertFalse(adoption.shouldFetch(nowMillis = 0, announcedVersion = 5))
    }

    @Test
    fun emptyStateIsRejectedUnlessAllowed() {
        val problem = assertNotNull(readDesiredState("").getError()).single()
        assertTrue("--allow-empty" in problem.message)
        assertEquals(DesiredState(), readDesiredState("", emptyAllowed = true).get())
    }
}
