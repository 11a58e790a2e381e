package buckthornbay.core.membership

import buckthornbay.protocol.HostId
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNull
import kotlin.test.assertTrue

class StoreKnowledgeTest {
    private class Host(name: String, val clockOffsetMillis: Long, clockId: Long = 1, var version: Long = 1) {
        val id = HostId(name)
        val knowledge = StoreKnowledge(id, clockId, CollectionKnowledge { version }, CollectionKnowledge { version })

        fun confirm(atMillis: Long, revision: Long) = knowledge.configuration.confirm(atMillis + clockOffsetMillis, revision)

        fun statement(atMillis: Long, to: Host) = knowledge.statementFor(atMillis + clockOffsetMillis, to.id)

        fun receive(atMillis: Long, statement: StoreStatement) = knowledge.receive(atMillis + clockOffsetMillis, statement)

        fun ageMillis(atMillis: Long) = knowledge.configuration.ageMillis(atMillis + clockOffsetMillis)
    }

    private val reader = Host("reader", clockOffsetMillis = 500_000)
    private val other = Host("other", clockOffsetMillis = 7)

    private fun introduce(atMillis: Long = 0) = reader.receive(atMillis, other.statement(atMillis, reader))

    @Test
    fun aStatementMakesTheKnowledgeOfAPeerAsYoungAsItsOwn() {
        introduce()
        reader.confirm(atMillis = 100, revision = 8)
        other.receive(300, reader.statement(300, other))
        assertEquals(200, other.ageMillis(300))
        assertEquals(8, other.knowledge.configuration.revision)
    }

    @Test
    fun aHostThatHasNotReceivedAMessageOfThePeerStatesNothing() {
        reader.confirm(atMillis = 100, revision = 8)
        assertNull(reader.statement(100, other).configuration)
    }

    /** A message that a partition holds back must not make old knowledge look young. */
    @Test
    fun aMessageThatIsHeldBackStatesTheTimeOfItsSending() {
        introduce()
        reader.confirm(atMillis = 100, revision = 8)
        val statement = reader.statement(100, other)
        other.receive(5_000, statement)
        assertEquals(4_900, other.ageMillis(5_000))
    }

    /** The time that the first message was under way is unknown, so that the converted time may be too early, never too late. */
    @Test
    fun aConvertedTimeIsNeverLaterThanTheTrueOne() {
        reader.receive(400, other.statement(0, reader))
        reader.confirm(atMillis = 500, revision = 8)
        other.receive(510, reader.statement(500, other))
        assertTrue(other.ageMillis(510) >= 10)
    }

    @Test
    fun aStatementAboutAVersionThatIsMissingTakesEffectWhenItIsApplied() {
        introduce()
        reader.version = 2
        reader.confirm(atMillis = 100, revision = 8)
        other.receive(200, reader.statement(200, other))
        assertNull(other.knowledge.configuration.revision)
        other.version = 2
        assertEquals(8, other.knowledge.configuration.revision)
        assertEquals(200, other.ageMillis(300))
    }

    @Test
    fun aStatementByAnEarlierClockOfARestartedHostIsIgnored() {
        introduce()
        reader.confirm(atMillis = 100, revision = 8)
        val restarted = Host("other", clockOffsetMillis = 7, clockId = 2)
        restarted.receive(200, reader.statement(200, other))
        assertNull(restarted.knowledge.configuration.revision)
    }

    /** The clock of a suspended machine stands still, so that its peers date their statements later than it knows. */
    @Test
    fun aStatementFromTheFutureIsIgnored() {
        introduce()
        reader.confirm(atMillis = 5_000, revision = 8)
        other.receive(100, reader.statement(5_000, other))
        assertNull(other.knowledge.configuration.revision)
    }

    /** What a host has read itself comes back from its peers. */
    @Test
    fun aHostsOwnStatementDoesNotConfirmItsKnowledgeAgain() {
        introduce()
        reader.confirm(atMillis = 100, revision = 8)
        other.receive(120, reader.statement(110, other))
        reader.receive(140, other.statement(130, reader))
        assertTrue(reader.knowledge.configuration.confirmedByPeersAtMillis < 0)
    }
}
