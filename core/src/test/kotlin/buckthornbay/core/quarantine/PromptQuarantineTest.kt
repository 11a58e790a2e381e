package buckthornbay.core.quarantine

import buckthornbay.core.load.PromptPart
import buckthornbay.core.load.TokenDemand
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertNotNull
import kotlin.test.assertNull
import kotlin.test.assertTrue

/** Tests which prompt parts hosts blame for crashes of upstreams. */
class PromptQuarantineTest {
    private var nowMillis = 0L
    private val quarantine = PromptQuarantine()

    private fun demand(vararg parts: String) = TokenDemand(1_000, 100, (parts.toList() + "own").map { PromptPart(it, 300) })

    /** Records a crash of a new upstream, [pendingMillis] after requests with [parts] were sent to it. */
    private fun crash(vararg parts: String, pendingMillis: Long = 50, at: PromptQuarantine = quarantine) = at.recordCrash(
        nowMillis,
        "upstream-$nowMillis-${parts.joinToString("-")}",
        parts.mapIndexed { position, part -> Suspect(part, position, nowMillis - pendingMillis) },
    )

    private fun exchange(from: PromptQuarantine, to: PromptQuarantine, delayMillis: Long = 20) {
        val news = from.news(nowMillis)
        nowMillis += delayMillis
        to.merge(nowMillis, news)
    }

    @Test
    fun aPartIsQuarantinedAfterThreeSuccessiveCrashes() {
        repeat(3) {
            assertNull(quarantine.quarantinedPart(demand("system", "bad")))
            crash("system", "bad")
            nowMillis += 400
            quarantine.recordAnswered(nowMillis, "request-$it", demand("system", "good"))
        }
        assertEquals("bad", quarantine.quarantinedPart(demand("system", "bad")))
        assertNull(quarantine.quarantinedPart(demand("system", "good")))
    }

    @Test
    fun theOwnPartOfARequestIsNotBlamed() {
        repeat(5) {
            crash("own")
            nowMillis += 400
        }
        assertNull(quarantine.quarantinedPart(TokenDemand(10, 10, listOf(PromptPart("own", 10)))))
    }

    @Test
    fun upstreamsThatCrashTogetherBlameNoPart() {
        repeat(8) {
            crash("system", "topic-$it", pendingMillis = 2_000)
            nowMillis += 100
        }
        assertTrue(quarantine.sinceMillisByPart.isEmpty())
    }

    /** Engines that end one after the other within a fraction of a second, again and again, whatever they process. */
    @Test
    fun engineCrashesByChanceBlameWhatWasInProgress() {
        quarantine.recordAnswered(nowMillis, "request", demand("system"))
        for (round in 0 until 4) {
            repeat(8) { engine ->
                nowMillis += 25
                crash("system", "topic-$engine", "rare-$round", pendingMillis = 20)
            }
            crash("topic-4", pendingMillis = 20)
            nowMillis += 1_500
        }
        assertTrue(quarantine.sinceMillisByPart.isEmpty(), "${quarantine.sinceMillisByPart.keys}")
    }

    @Test
    fun aPartThatWasAnsweredOnceAndThenCrashesUpstreamsIsNeverBlamed() {
        quarantine.recordAnswered(nowMillis, "request", demand("system", "turned-bad"))
        repeat(5) {
            assertNull(quarantine.quarantinedPart(demand("system", "turned-bad")))
            nowMillis += 400
            crash("system", "turned-bad")
            nowMillis += 100
            quarantine.recordAnswered(nowMillis, "request-$it", demand("system"))
        }
        assertEquals(setOf("turned-bad"), quarantine.sinceMillisByPart.keys)
    }

    @Test
    fun aPartThatIsAnsweredBetweenCrashesIsNotBlamed() {
        repeat(8) {
            crash("system", "topic")
            nowMillis += 400
            quarantine.recordAnswered(nowMillis, "request-$it", demand("system", "topic"))
            nowMillis += 400
        }
        assertTrue(quarantine.sinceMillisByPart.isEmpty())
    }

    @Test
    fun aCrashThatOnePartExplainsIsNotCountedAgainstOthers() {
        listOf("rare", "rare", "other", "rare").forEach { companion ->
            crash("system", companion, "bad")
            nowMillis += 400
            quarantine.recordAnswered(nowMillis, "request-$nowMillis", demand("system", "good"))
        }
        assertNotNull(quarantine.quarantinedPart(demand("bad")))
        assertNull(quarantine.quarantinedPart(demand("system", "rare")))
    }

    @Test
    fun aWronglyBlamedPartIsReleasedWhenAnotherPartExplainsItsCrashes() {
        repeat(3) {
            crash("bad", "rare")
            nowMillis += 400
        }
        assertNotNull(quarantine.quarantinedPart(demand("rare")))
        crash("bad", "other")
        assertNull(quarantine.quarantinedPart(demand("rare")))
        assertNotNull(quarantine.quarantinedPart(demand("bad")))
    }

    @Test
    fun crashesThatDifferentHostsSawAreCountedTogether() {
        val hosts = List(4) { PromptQuarantine() }
        repeat(3) { number ->
            crash("bad", at = hosts[number])
            exchange(hosts[number], hosts[3])
            nowMillis += 400
        }
        assertNotNull(hosts[3].quarantinedPart(demand("bad")))
        assertNull(hosts[0].quarantinedPart(demand("bad")))
        exchange(hosts[3], hosts[0])
        assertNotNull(hosts[0].quarantinedPart(demand("bad")))
    }

    @Test
    fun aHostThatStartsLaterLearnsWhatIsQuarantined() {
        repeat(3) {
            crash("bad")
            nowMillis += 400
        }
        nowMillis += 60_000
        val restarted = PromptQuarantine()
        exchange(quarantine, restarted)
        assertNotNull(restarted.quarantinedPart(demand("bad")))
    }

    @Test
    fun anAnswerAtAnotherHostReleasesAPart() {
        val other = PromptQuarantine()
        crash("slow")
        nowMillis += 300
        other.recordAnswered(nowMillis, "request", demand("slow"))
        nowMillis += 300
        repeat(2) {
            crash("slow")
            nowMillis += 300
        }
        assertNotNull(quarantine.quarantinedPart(demand("slow")))
        exchange(quarantine, other)
        exchange(other, quarantine)
        assertNull(quarantine.quarantinedPart(demand("slow")))
        assertNull(other.quarantinedPart(demand("slow")))
    }

    @Test
    fun agesDoNotDriftWhileHostsRepeatEachOther() {
        val other = PromptQuarantine()
        quarantine.recordAnswered(nowMillis, "request", demand("part"))
        nowMillis += 10
        crash("part", pendingMillis = 5)
        repeat(40) {
            exchange(quarantine, other)
            exchange(other, quarantine)
            nowMillis += 60
        }
        val proofAgeMillis = quarantine.news(nowMillis).answered.single().ageMillis
        assertEquals(nowMillis, proofAgeMillis)
    }

    private fun verdict(part: String, isTrialHost: Boolean = true) = quarantine.verdict(nowMillis, demand(part)) { isTrialHost }

    private fun quarantineBad() = repeat(3) {
        crash("bad")
        nowMillis += 400
    }

    @Test
    fun eachHostTriesAPartAgainWhenItsHoldTimeIsOver() {
        quarantineBad()
        val refused = verdict("bad") as QuarantineVerdict.Refused
        nowMillis += refused.retryAfterMillis
        assertTrue(verdict("bad", isTrialHost = false) is QuarantineVerdict.Refused)
        assertEquals(QuarantineVerdict.Trial, verdict("bad"))
        assertTrue(verdict("bad") is QuarantineVerdict.Refused, "one trial at a time")
        nowMillis += 300
        crash("bad")
        val renewed = verdict("bad") as QuarantineVerdict.Refused
        assertTrue(renewed.retryAfterMillis > refused.retryAfterMillis)
    }

    @Test
    fun aPartThatCrashesNoUpstreamAnyMoreStaysQuarantined() {
        quarantineBad()
        nowMillis += (verdict("bad") as QuarantineVerdict.Refused).retryAfterMillis
        assertEquals(QuarantineVerdict.Trial, verdict("bad"))
        quarantine.recordAnswered(nowMillis + 300, "trial", demand("bad"))
        assertEquals(QuarantineVerdict.Accepted, verdict("bad"))
    }

    @Test
    fun aSuspectedRequestTakesTheNextUpstreamAlong() {
        crash("system", "bad", "rare")
        nowMillis += 400
        quarantine.recordAnswered(nowMillis, "request", demand("system", "rare"))
        assertFalse(quarantine.isSuspected(demand("bad")), "one crash may be chance")
        crash("system", "bad", "rare")
        assertTrue(quarantine.isSuspected(demand("system", "bad")))
        assertFalse(quarantine.isSuspected(demand("system", "rare")))
    }

    @Test
    fun madeUpPartsPushOutTheEvidence() {
        repeat(3) { round ->
            val madeUp = (0 until 2_000).map { "made-up-$round-$it" }
            quarantine.recordCrash(nowMillis, "upstream-$round", madeUp.map { Suspect(it, 1, nowMillis - 50) })
            quarantine.recordCrash(nowMillis, "upstream-$round", listOf(Suspect("bad", 1, nowMillis - 50)))
            nowMillis += 400
            madeUp.forEach { quarantine.recordAnswered(nowMillis, "request-$it", demand("answered-$it")) }
        }
        assertNotNull(quarantine.quarantinedPart(demand("bad")))
    }

    /** Guards against blaming a sound part after three crashes because others were answered since. */
    @Test
    fun aSoundPartIsForgottenWhileManyOthersAreAnswered() {
        quarantine.recordAnswered(nowMillis, "request", demand("shared"))
        repeat(40) { request ->
            val others = (0 until 500).map { "other-$request-$it" }.toTypedArray()
            quarantine.recordAnswered(nowMillis, "request-$request", demand(*others))
        }
        repeat(4) {
            nowMillis += 400
            crash("shared")
            assertNull(quarantine.quarantinedPart(demand("shared")))
        }
    }

    /** If such a part is blamed wrongly, every request that would show so is refused until the trial. */
    @Test
    fun aPartThatWasAnsweredBeforeIsHeldAsLongAsOthers() {
        quarantine.recordAnswered(nowMillis, "request", demand("shared"))
        repeat(5) {
            nowMillis += 400
            crash("shared")
        }
        val refused = verdict("shared") as QuarantineVerdict.Refused
        assertTrue(refused.retryAfterMillis <= 30_000, "${refused.retryAfterMillis} ms")
        nowMillis += refused.retryAfterMillis
        assertEquals(QuarantineVerdict.Trial, verdict("shared"))
        quarantine.recordAnswered(nowMillis + 300, "trial", demand("shared"))
        assertEquals(QuarantineVerdict.Accepted, verdict("shared"))
    }

    @Test
    fun aSharedPartIsBlamedThatAlwaysComesWithTheCrashingOne() {
        quarantine.recordAnswered(nowMillis, "request", demand("shared"))
        repeat(3) {
            nowMillis += 400
            crash("bad", "shared")
        }
        assertNotNull(quarantine.quarantinedPart(demand("bad")))
        assertNull(quarantine.quarantinedPart(demand("shared")))
    }

    @Test
    fun twoPartsThatCrashUpstreamsAtTheSameTimeAreBothQuarantined() {
        repeat(3) {
            crash("system", "bad")
            nowMillis += 200
            crash("worse")
            nowMillis += 200
            quarantine.recordAnswered(nowMillis, "request-$it", demand("system"))
        }
        assertEquals(setOf("bad", "worse"), quarantine.sinceMillisByPart.keys)
    }

    @Test
    fun aFirstPartThatComesEveryTenSecondsIsNotBlamed() {
        repeat(3) {
            crash("first", "topic-$it")
            nowMillis += 10_000
        }
        assertEquals(setOf("first"), quarantine.sinceMillisByPart.keys)
    }
}
