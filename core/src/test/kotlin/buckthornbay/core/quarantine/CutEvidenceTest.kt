package buckthornbay.core.quarantine

import buckthornbay.core.load.PromptPart
import buckthornbay.core.load.TokenDemand
import buckthornbay.protocol.WireJson
import java.util.PriorityQueue
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/**
 * Tests crashes with so many prompt parts in progress that a host can't keep or pass on a list of all of them.
 *
 * Guards against hosts that blame a sound part for crashes whose real cause is missing from their list, and against hosts that
 * never find the real cause.
 */
class CutEvidenceTest {
    /**
     * Prompts of a route.
     *
     * @property shared number of parts that all prompts share.
     * @property crashingIndex number of shared parts in front of the crashing one.
     * @property inProgress number of other requests that a crashing upstream has in progress.
     * @property ownParts number of further parts of each of these.
     */
    private data class Load(val shared: Int, val crashingIndex: Int, val inProgress: Int = 6, val ownParts: Int = 1)

    /** Hosts that exchange news in virtual time, and upstreams that crash under one part while they process sound requests. */
    private class Fleet(private val load: Load, hostCount: Int, private val periodMillis: Long, seed: Long) {
        private class Event(val atMillis: Long, val sequence: Int, val action: () -> Unit)

        private val random = Random(seed)
        private val events = PriorityQueue(compareBy<Event>({ it.atMillis }, { it.sequence }))
        private var sequence = 0
        private var nowMillis = 0L
        private val sharedParts = List(load.shared) { "shared-$it" }
        private val hosts = List(hostCount) { PromptQuarantine() }
        val crashedAtMillis = ArrayList<Long>()
        val sentAtMillis = ArrayList<Long>()
        val quarantined = LinkedHashSet<String>()
        var refusedSound = 0
        var longestNews = 0

        /** Lets sound requests be answered for a while, and then sends requests with the crashing part among them. */
        fun run(): Fleet {
            for (host in hosts) every(GOSSIP_MILLIS, 0) { exchange(host, hosts.random(random)) }
            every(SOUND_MILLIS, 0) { sendSound(hosts.random(random)) }
            repeat(CRASHING_REQUESTS) { number ->
                after(CALM_MILLIS + number * periodMillis) { sendCrashing(hosts.random(random)) }
            }
            val endMillis = CALM_MILLIS + CRASHING_REQUESTS * periodMillis + CONTACT_MILLIS
            while (nowMillis < endMillis) {
                val event = events.remove()
                nowMillis = event.atMillis
                event.action()
            }
            return this
        }

        private fun after(delayMillis: Long, action: () -> Unit) {
            events += Event(nowMillis + delayMillis, sequence++, action)
        }

        private fun every(periodMillis: Long, firstMillis: Long = periodMillis, action: () -> Unit): Unit = after(firstMillis) {
            action()
            every(periodMillis, action = action)
        }

        private fun demand(parts: List<String>) = TokenDemand(1_000, 100, (parts + "own").map { PromptPart(it, tokens = 20) })

        private fun soundParts() = sharedParts + List(load.ownParts) { "own-${sequence++}-$it" }

        private fun crashingParts() = sharedParts.take(load.crashingIndex) + CRASHING + sharedParts.drop(load.crashingIndex)

        /** Sends a request that is answered in calm, and lost with its upstream afterwards. */
        private fun sendSound(host: PromptQuarantine) {
            val demand = demand(soundParts())
            val isAccepted = host.verdict(nowMillis, demand) { false } == QuarantineVerdict.Accepted
            if (!isAccepted) refusedSound++
            val isCalm = nowMillis < CALM_MILLIS || quarantined.isNotEmpty()
            if (isAccepted && isCalm) {
                after(ANSWER_MILLIS) { report(host.recordAnswered(nowMillis, "sound-${sequence++}", demand)) }
            }
        }

        private fun sendCrashing(host: PromptQuarantine) {
            if (host.verdict(nowMillis, demand(crashingParts())) { false } != QuarantineVerdict.Accepted) return
            val sentMillis = nowMillis
            sentAtMillis += sentMillis
            after(PREFILL_MILLIS) { crash(host, sentMillis) }
        }

        private fun crash(host: PromptQuarantine, sentMillis: Long) {
            val upstream = "upstream-${crashedAtMillis.size}"
            crashedAtMillis += nowMillis
            val lost = LinkedHashMap<PromptQuarantine, MutableList<Suspect>>()
            val suspectsOf = { parts: List<String>, atMillis: Long -> parts.mapIndexed { i, part -> Suspect(part, i, atMillis) } }
            repeat(load.inProgress) {
                val atMillis = nowMillis - 10 - random.nextLong(MAX_AGE_MILLIS)
                lost.getOrPut(hosts.random(random)) { ArrayList() } += suspectsOf(soundParts(), atMillis)
            }
            lost.getOrPut(host) { ArrayList() } += suspectsOf(crashingParts(), sentMillis)
            for ((witness, suspects) in lost) {
                after(NOTICE_MILLIS + random.nextLong(NOTICE_MILLIS)) {
                    report(witness.recordCrash(nowMillis, upstream, suspects))
                    repeat(ANNOUNCE_FAN_OUT) { exchange(witness, hosts.random(random)) }
                }
            }
        }

        private fun exchange(from: PromptQuarantine, to: PromptQuarantine) {
            if (from === to) return
            val news = encoded(from)
            after(LATENCY_MILLIS) {
                report(to.merge(nowMillis, decoded(news)))
                val reply = encoded(to)
                after(LATENCY_MILLIS) { report(from.merge(nowMillis, decoded(reply))) }
            }
        }

        private fun encoded(host: PromptQuarantine): String =
            WireJson.encodeToString(QuarantineNews.serializer(), host.news(nowMillis))
                .also { longestNews = maxOf(longestNews, it.length) }

        private fun decoded(news: String) = WireJson.decodeFromString(QuarantineNews.serializer(), news)

        private fun report(changes: List<QuarantineChange>) {
            quarantined += changes.filterIsInstance<QuarantineChange.Quarantined>().map { it.part }
        }
    }

    private fun play(load: Load, hostCounts: List<Int> = listOf(1, 6), check: (Fleet, String) -> Unit) {
        for (hostCount in hostCounts) {
            for (periodMillis in listOf(400L, 2_500L)) {
                check(Fleet(load, hostCount, periodMillis, seed = 58).run(), "$load, $hostCount hosts, every $periodMillis ms")
            }
        }
    }

    private fun assertCauseIsFound(load: Load, hostCounts: List<Int> = listOf(1, 6)) = play(load, hostCounts) { fleet, case ->
        assertEquals(setOf(CRASHING), fleet.quarantined, case)
        assertEquals(0, fleet.refusedSound, "sound requests that were refused: $case")
        val fifthMillis = fleet.crashedAtMillis.getOrElse(CRASHES_TO_LEARN_FROM - 1) { fleet.crashedAtMillis.last() }
        val late = fleet.sentAtMillis.count { it > fifthMillis + CONTACT_MILLIS }
        assertTrue(late <= MAX_LATE_REQUESTS, "$late of ${fleet.sentAtMillis.size} crashing requests were sent late: $case")
    }

    @Test
    fun aCrashingPartBehindManyOthersIsNotFound() {
        for (shared in listOf(31, 32, 60, 200)) assertCauseIsFound(Load(shared, crashingIndex = shared))
        assertCauseIsFound(Load(shared = 400, crashingIndex = 299))
    }

    @Test
    fun aCrashingPartInFrontOfManyOthersIsNotFound() = assertCauseIsFound(Load(shared = 400, crashingIndex = 0))

    @Test
    fun aCrashingPartIsNotFoundAmongThePartsOfManyOtherRequests() {
        assertCauseIsFound(Load(shared = 40, crashingIndex = 0, inProgress = 100, ownParts = 45))
        assertCauseIsFound(Load(shared = 20, crashingIndex = 20, inProgress = 200, ownParts = 30))
    }

    /** Each host sees a few of the crashes and of the answers. */
    @Test
    fun aCrashingPartIsNotFoundInALargeFleet() = assertCauseIsFound(Load(shared = 200, crashingIndex = 200), listOf(30, 72))

    /** A message lists fewer parts than such a prompt has, and most hosts don't know that the shared ones were answered. */
    @Test
    fun aSharedPartOfLongPromptsIsBlamedInALargeFleet() = assertCauseIsFound(Load(shared = 400, crashingIndex = 0), listOf(30))

    /** Callers that send nothing but heads full of parts can hide a crashing part, but must not have a sound one blamed. */
    @Test
    fun aSharedPartIsBlamedWhenMadeUpPartsPushOutTheCause() =
        play(Load(shared = 12, crashingIndex = 12, inProgress = 40, ownParts = 1_300)) { fleet, case ->
            assertEquals(emptySet(), fleet.quarantined - CRASHING, case)
            assertEquals(0, fleet.refusedSound, case)
            assertTrue(fleet.longestNews <= MAX_NEWS_CHARS, "${fleet.longestNews} characters of news: $case")
        }

    private companion object {
        const val CRASHING = "crashing"
        const val CRASHING_REQUESTS = 24
        const val CALM_MILLIS = 3_000L
        const val SOUND_MILLIS = 100L
        const val ANSWER_MILLIS = 60L
        const val GOSSIP_MILLIS = 150L
        const val ANNOUNCE_FAN_OUT = 3
        const val LATENCY_MILLIS = 5L
        const val NOTICE_MILLIS = 20L
        const val PREFILL_MILLIS = 100L
        const val MAX_AGE_MILLIS = 300L

        /** The operator's rule: three more requests from this time after the fifth crash. */
        const val CONTACT_MILLIS = 3_000L
        const val CRASHES_TO_LEARN_FROM = 5
        const val MAX_LATE_REQUESTS = 3

        /** Largest accepted size of the news in a message; hosts repeat it for the five seconds after a crash. */
        const val MAX_NEWS_CHARS = 65_536
    }
}
