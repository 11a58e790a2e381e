package buckthornbay.core.membership

import buckthornbay.protocol.Heartbeat
import buckthornbay.protocol.HostId
import buckthornbay.protocol.Member
import buckthornbay.protocol.MemberStatus
import buckthornbay.protocol.RegionId
import buckthornbay.protocol.ZoneId
import org.apache.commons.rng.simple.RandomSource
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class MembershipTest {
    private val quiet = HostReport(stateVersion = 0, loadPermille = 0)

    /** Hosts that exchange heartbeats at once, but for those that are cut off. */
    private inner class Group(size: Int, seeds: Int = 1) {
        val members = (0 until size).associate { "http://h$it" to membership(it, seeds) }
        val cut = HashSet<String>()
        var nowMillis = 0L
        var largestHeartbeat = 0

        fun run(millis: Long) {
            val until = nowMillis + millis
            while (nowMillis < until) {
                nowMillis += 100
                members.filterKeys { it !in cut }.forEach { (url, member) -> tick(url, member) }
            }
        }

        private fun tick(url: String, member: Membership) {
            for (out in member.tick(nowMillis, quiet)) {
                largestHeartbeat = maxOf(largestHeartbeat, out.heartbeat.members.size)
                deliver(url, out)
            }
        }

        private fun deliver(from: String, out: OutgoingHeartbeat) {
            if (out.url in cut || from in cut) return
            val reply = members.getValue(out.url).receive(nowMillis, out.heartbeat, quiet) ?: return
            members.getValue(from).receive(nowMillis, reply.heartbeat, quiet)
        }
    }

    private fun membership(number: Int, seeds: Int, incarnation: Long = 1) = Membership(
        member(number, incarnation),
        (0 until seeds).map { "http://h$it" },
        RandomSource.XO_RO_SHI_RO_128_PP.create(number + 1L),
    )

    private fun member(number: Int, incarnation: Long) =
        Member(HostId("h$number"), "http://h$number", RegionId("r"), ZoneId("z"), incarnation)

    @Test
    fun hostsThatKnowOneSeedFindEachOther() {
        val group = Group(size = 9)
        group.run(15_000)
        group.members.values.forEach { assertEquals(9, it.live().size) }
    }

    @Test
    fun aSilentHostIsDeadForAllWithinTenSecondsAndFoundAgainAfterwards() {
        val group = Group(size = 9)
        group.run(15_000)
        group.cut += "http://h8"
        group.run(10_000)
        group.members.filterKeys { it != "http://h8" }.values.forEach { assertEquals(8, it.live().size) }
        group.cut.clear()
        group.run(40_000)
        group.members.values.forEach { assertEquals(9, it.live().size) }
    }

    @Test
    fun aHeartbeatCarriesABoundedNumberOfMembers() {
        val group = Group(size = 60)
        group.run(60_000)
        val settings = MembershipSettings()
        assertTrue(
            group.largestHeartbeat <= settings.newsMembers + settings.sampleMembers + 1,
            "${group.largestHeartbeat} members",
        )
        group.members.values.forEach { assertEquals(60, it.live().size) }
    }

    @Test
    fun aSuspectedHostRefutesByRaisingItsIncarnation() {
        val host = membership(number = 0, seeds = 0)
        val rumor = member(0, incarnation = 1).copy(status = MemberStatus.SUSPECT)
        host.receive(0, Heartbeat(member(1, 1), listOf(rumor)), quiet)
        assertEquals(MemberStatus.ALIVE, host.selfMember.status)
        assertEquals(2, host.selfMember.incarnation)
    }

    @Test
    fun anOldRumorDoesNotKillAHostThatWasReplacedUnderTheSameAddress() {
        val watcher = membership(number = 0, seeds = 0)
        watcher.receive(0, Heartbeat(member(1, incarnation = 7)), quiet)
        val old = member(1, incarnation = 3).copy(status = MemberStatus.DEAD)
        watcher.receive(1, Heartbeat(member(2, incarnation = 1), listOf(old)), quiet)
        assertTrue(HostId("h1") in watcher.live().map { it.host })
    }

    @Test
    fun aRumorOfDeathFromTheOtherSideOfAPartitionRemovesNobodyAtOnce() {
        val watcher = membership(number = 0, seeds = 0)
        watcher.receive(0, Heartbeat(member(1, incarnation = 1)), quiet)
        val rumor = member(1, incarnation = 1).copy(status = MemberStatus.DEAD)
        watcher.receive(100, Heartbeat(member(2, 1), listOf(rumor)), quiet)
        assertEquals(MemberStatus.ALIVE, watcher.find(HostId("h1"))?.status)
        watcher.receive(20_000, Heartbeat(member(2, 1), listOf(rumor)), quiet)
        assertEquals(MemberStatus.SUSPECT, watcher.find(HostId("h1"))?.status)
    }

    @Test
    fun aLeavingHostIsNoLongerAmongTheLive() {
        val watcher = membership(number = 0, seeds = 0)
        val leaver = membership(number = 1, seeds = 0)
        watcher.receive(0, Heartbeat(leaver.selfMember), quiet)
        leaver.leave()
        watcher.receive(1, Heartbeat(leaver.selfMember), quiet)
        assertEquals(listOf(HostId("h0")), watcher.live().map { it.host })
    }

    @Test
    fun onlyTheKeysOfALostHostMove() {
        val hosts = (0 until 9).map { HostId("h$it") }
        val keys = (0 until 200).map { "pool-$it" }
        val before = keys.associateWith { rendezvousOrder(it, hosts).first() }
        val after = keys.associateWith { rendezvousOrder(it, hosts - HostId("h4")).first() }
        keys.forEach { if (before[it] != HostId("h4")) assertEquals(before[it], after[it]) }
        assertTrue(before.values.toSet().size == 9, "every host is in charge of something")
    }
}
