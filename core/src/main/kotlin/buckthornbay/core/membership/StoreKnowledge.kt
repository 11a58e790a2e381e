package buckthornbay.core.membership

import buckthornbay.protocol.HostId
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * A statement about a collection of the store, as of a time.
 *
 * @property version newest version of the collection at that time.
 * @property revision revision of the store at that time.
 * @property atMillis that time by the recipient's clock, in milliseconds; never later than the true one.
 */
@Serializable
public data class CollectionStatement(
    @SerialName("v") public val version: Long,
    @SerialName("r") public val revision: Long,
    @SerialName("t") public val atMillis: Long,
)

/**
 * What a host states to a peer about the collections of the store.
 *
 * @property clockId identity of the sender's clock; it changes when the sender restarts.
 * @property sentAtMillis time of the message by the sender's clock, in milliseconds.
 * @property recipientClockId identity of the clock by which the statements are dated; null if there are none.
 */
@Serializable
public data class StoreStatement(
    @SerialName("h") public val host: HostId,
    @SerialName("i") public val clockId: Long,
    @SerialName("m") public val sentAtMillis: Long,
    @SerialName("o") public val recipientClockId: Long? = null,
    @SerialName("c") public val configuration: CollectionStatement? = null,
    @SerialName("u") public val registrations: CollectionStatement? = null,
    @SerialName("z") public val evacuations: CollectionStatement? = null,
)

/**
 * A host's knowledge of one collection of the store, and the time as of which it is known to be complete.
 *
 * The knowledge becomes younger by a response of the store, or by a peer's statement about a version that this host has. That
 * a peer is in contact with the store says nothing about this host's knowledge.
 *
 * @param version returns the version of the collection that this host has.
 */
public class CollectionKnowledge(private val version: () -> Long) {
    private var completeAtMillis = NEVER_MILLIS
    private var completeByPeersAtMillis = NEVER_MILLIS
    private var completeRevision: Long? = null

    /** The latest statement about a version that this host didn't have when it arrived. */
    private var pending: CollectionStatement? = null

    /** Time as of which the knowledge is complete, in milliseconds. */
    public val confirmedAtMillis: Long get() = settled().completeAtMillis

    /** Time as of which a peer has confirmed the knowledge later than any response of the store, in milliseconds. */
    internal val confirmedByPeersAtMillis: Long get() = settled().completeByPeersAtMillis

    /** Revision of the store up to which the knowledge is complete, or null if the objects have to be listed. */
    public val revision: Long? get() = settled().completeRevision

    /** Returns the age of the knowledge at [nowMillis], in milliseconds; over [MAX_AGE_MILLIS] before the first confirmation. */
    public fun ageMillis(nowMillis: Long): Long = nowMillis - confirmedAtMillis

    /** Records a response of the store, as of [atMillis] and [revision], which this host has applied. */
    public fun confirm(atMillis: Long, revision: Long) {
        completeAtMillis = maxOf(completeAtMillis, atMillis)
        completeRevision = maxOf(completeRevision ?: revision, revision)
    }

    /** Records a peer's [statement]; it takes effect when this host has the version that it names. */
    public fun receive(nowMillis: Long, statement: CollectionStatement) {
        settled()
        // A later time than now shows that this host was suspended, so that its clock is behind.
        if (statement.atMillis !in confirmedAtMillis..nowMillis) return
        if ((pending?.atMillis ?: NEVER_MILLIS) < statement.atMillis) pending = statement
        settled()
    }

    /** Makes the next call list the objects, because the history after the known revision is gone. */
    public fun forgetRevision() {
        completeRevision = null
    }

    /** Returns the statement for a peer to whose clock [toPeerMillis] converts, or null if nothing is known. */
    internal fun statement(toPeerMillis: (Long) -> Long): CollectionStatement? =
        revision?.let { CollectionStatement(version(), it, toPeerMillis(completeAtMillis)) }

    private fun settled(): CollectionKnowledge {
        val statement = pending
        if (statement != null && version() >= statement.version) {
            pending = null
            if (statement.atMillis > completeAtMillis) completeByPeersAtMillis = statement.atMillis
            confirm(statement.atMillis, statement.revision)
        }
        return this
    }

    public companion object {
        private const val NEVER_MILLIS = Long.MIN_VALUE / 2

        /** Upper bound of a reported age, in milliseconds: an hour, which no reader distinguishes from a longer time. */
        public const val MAX_AGE_MILLIS: Long = 3_600_000
    }
}

/**
 * The knowledge of this host about the [configuration], the [registrations] and the [evacuations] in the store, and its exchange
 * with peers.
 *
 * Clocks of hosts have no common origin. A message tells the sender's time, which is over when the message arrives; a time that
 * is converted by it is therefore never later than the true one, however long the message was under way.
 *
 * @param clockId identity of this host's clock, which no earlier process of this host had.
 */
public class StoreKnowledge(
    private val self: HostId,
    private val clockId: Long,
    public val configuration: CollectionKnowledge,
    public val registrations: CollectionKnowledge,
    public val evacuations: CollectionKnowledge = CollectionKnowledge { 0 },
) {
    private class PeerTime(val clockId: Long, val peerMillis: Long, val receivedAtMillis: Long)

    private val peerTimes = HashMap<HostId, PeerTime>()

    /** Times as of which the collections are known to be complete, in milliseconds. */
    public val confirmedAtMillis: List<Long> get() = listOf(configuration, registrations, evacuations).map {
        it.confirmedAtMillis
    }

    /** Returns the statement to send to [recipient]; it names no versions if no message of that host has arrived. */
    public fun statementFor(nowMillis: Long, recipient: HostId?): StoreStatement {
        val time = peerTimes[recipient] ?: return StoreStatement(self, clockId, nowMillis)
        val toPeerMillis = { millis: Long -> time.peerMillis + millis - time.receivedAtMillis }
        return StoreStatement(
            self,
            clockId,
            nowMillis,
            time.clockId,
            configuration.statement(toPeerMillis),
            registrations.statement(toPeerMillis),
            evacuations.statement(toPeerMillis),
        )
    }

    /** Merges what a peer states. */
    public fun receive(nowMillis: Long, statement: StoreStatement) {
        peerTimes[statement.host] = PeerTime(statement.clockId, statement.sentAtMillis, nowMillis)
        if (statement.recipientClockId != clockId) return
        statement.configuration?.let { configuration.receive(nowMillis, it) }
        statement.registrations?.let { registrations.receive(nowMillis, it) }
        statement.evacuations?.let { evacuations.receive(nowMillis, it) }
    }

    /** Forgets the clock of [host], which has left. */
    public fun forget(host: HostId) {
        peerTimes.remove(host)
    }
}
