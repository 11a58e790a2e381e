package buckthornbay.core.quarantine

import buckthornbay.core.load.PromptPart
import buckthornbay.core.load.TokenDemand
import java.util.PriorityQueue
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Tests the quarantine in fleets in which each crash is seen by a few hosts and gossip takes several rounds. */
class LargeFleetQuarantineTest {
    /**
     * Hosts that exchange news in virtual time, before engines that crash under one prompt part among many sound requests with
     * the same first part.
     */
    private class Fleet(hostCount: Int, engineCount: Int, private val crashingPerSecond: Int, seed: Long) {
        private class Event(val atMillis: Long, val sequence: Int, val action: () -> Unit)

        private class Engine(val name: String, var incarnation: Int = 0, var startsAtMillis: Long = 0)

        private val random = Random(seed)
        private val events = PriorityQueue(compareBy<Event>({ it.atMillis }, { it.sequence }))
        private var sequence = 0
        private var nowMillis = 0L
        private val engines = List(engineCount) { Engine("engine-$it") }
        val hosts = List(hostCount) { PromptQuarantine() }
        val sentAtMillis = ArrayList<Long>()
        val crashedAtMillis = ArrayList<Long>()
        val quarantined = LinkedHashSet<String>()

        fun run(millis: Long) {
            for (host in hosts) every(GOSSIP_MILLIS) { exchange(host, hosts.random(random)) }
            for (host in hosts) every(ANSWER_MILLIS) { report(host.recordAnswered(nowMillis, "answer-${sequence++}", sound())) }
            every(1_000L / crashingPerSecond) { sendCrashing(hosts.random(random)) }
            while (nowMillis < millis) {
                val event = events.remove()
                nowMillis = event.atMillis
                event.action()
            }
        }

        private fun after(delayMillis: Long, action: () -> Unit) {
            events += Event(nowMillis + delayMillis, sequence++, action)
        }

        private fun every(periodMillis: Long, firstMillis: Long = random.nextLong(periodMillis), action: () -> Unit): Unit =
            after(firstMillis) {
                action()
                every(periodMillis, periodMillis, action)
            }

        private fun sound() = demand("topic-${random.nextInt(TOPICS)}")

        private fun demand(topic: String) =
            TokenDemand(1_000, 100, listOf(FIRST, topic, "own").map { PromptPart(it, tokens = 300) })

        private fun sendCrashing(host: PromptQuarantine) {
            val verdict = host.verdict(nowMillis, demand(CRASHING)) { false }
            val engine = engines.filter { it.startsAtMillis <= nowMillis }.randomOrNull(random) ?: return
            if (verdict != QuarantineVerdict.Accepted) return
            sentAtMillis += nowMillis
            val sentMillis = nowMillis
            val incarnation = engine.incarnation
            after(random.nextLong(MAX_PREFILL_MILLIS)) {
                if (engine.incarnation == incarnation) crash(engine, host, sentMillis)
            }
        }

        private fun crash(engine: Engine, host: PromptQuarantine, sentMillis: Long) {
            crashedAtMillis += nowMillis
            val upstream = "${engine.name}@${engine.incarnation}"
            engine.incarnation++
            engine.startsAtMillis = nowMillis + RESTART_MILLIS
            notice(host, upstream, CRASHING, sentMillis)
            repeat(WITNESSES) { notice(hosts.random(random), upstream, "topic-${random.nextInt(TOPICS)}", nowMillis - it * 20) }
        }

        private fun notice(host: PromptQuarantine, upstream: String, topic: String, sentMillis: Long) =
            after(NOTICE_MILLIS + random.nextLong(NOTICE_MILLIS)) {
                val suspects = listOf(FIRST, topic).mapIndexed { position, part -> Suspect(part, position, sentMillis) }
                report(host.recordCrash(nowMillis, upstream, suspects))
                repeat(ANNOUNCE_FAN_OUT) { exchange(host, hosts.random(random)) }
            }

        private fun exchange(from: PromptQuarantine, to: PromptQuarantine) {
            val news = from.news(nowMillis)
            after(LATENCY_MILLIS) {
                report(to.merge(nowMillis, news))
                val reply = to.news(nowMillis)
                after(LATENCY_MILLIS) { report(from.merge(nowMillis, reply)) }
            }
        }

        private fun report(changes: List<QuarantineChange>) {
            quarantined += changes.filterIsInstance<QuarantineChange.Quarantined>().map { it.part }
        }
    }

    private fun assertPartIsStopped(fleet: Fleet) {
        fleet.run(millis = 9_000)
        val fifthMillis = fleet.crashedAtMillis.getOrElse(CRASHES_TO_LEARN_FROM - 1) { fleet.crashedAtMillis.last() }
        val late = fleet.sentAtMillis.count { it > fifthMillis + CONTACT_MILLIS }
        val crashes = "crashes at ${fleet.crashedAtMillis}"
        assertTrue(late <= MAX_LATE_REQUESTS, "$late requests with the part were sent late; $crashes")
        assertEquals(setOf(CRASHING), fleet.quarantined, crashes)
    }

    @Test
    fun aPartIsSentOnInAFleetOf72Hosts() {
        for (seed in 1L..2L) assertPartIsStopped(Fleet(hostCount = 72, engineCount = 78, crashingPerSecond = 4, seed))
        assertPartIsStopped(Fleet(hostCount = 72, engineCount = 78, crashingPerSecond = 40, seed = 3))
    }

    @Test
    fun aPartIsSentOnInAFleetOf390Hosts() =
        assertPartIsStopped(Fleet(hostCount = 390, engineCount = 600, crashingPerSecond = 20, seed = 1))

    private companion object {
        const val FIRST = "first"
        const val CRASHING = "bad"
        const val TOPICS = 600
        const val GOSSIP_MILLIS = 150L
        const val ANSWER_MILLIS = 100L
        const val ANNOUNCE_FAN_OUT = 3
        const val LATENCY_MILLIS = 9L
        const val NOTICE_MILLIS = 20L
        const val MAX_PREFILL_MILLIS = 300L
        const val RESTART_MILLIS = 3_000L

        /** Number of sound requests at other hosts that an engine has when it crashes. */
        const val WITNESSES = 12

        /** The operator's rule: three more requests from this time after the fifth crash. */
        const val CONTACT_MILLIS = 3_000L
        const val CRASHES_TO_LEARN_FROM = 5
        const val MAX_LATE_REQUESTS = 3
    }
}
