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
    private val idle = HostReport(stateVersion = 0, loadPermille = 0)

    /** Hosts that exchange heartbeats without delay; hosts in [partitioned] are partitioned from all others. */
    private inner class Group(size: Int, seeds: Int = 1) {
        val members = (0 until size).associate { "http://h$it" to membership(it, seeds) }
        val partitioned = HashSet<String>()
        var nowMillis = 0L
        var largestHeartbeat = 0

        fun run(millis: Long) {
            val until = nowMillis + millis
            while (nowMillis < until) {
                nowMillis += 100
                members.filterKeys { it !in partitioned }.forEach { (url, member) -> tick(url, member) }
            }
        }

        private fun tick(url: String, member: Membership) {
            for (out in member.tick(nowMillis, idle)) {
                largestHeartbeat = maxOf(largestHeartbeat, out.heartbeat.members.size)
                deliver(url, out)
            }
        }

        private fun deliver(from: String, out: OutgoingHeartbeat) {
            if (out.url in partitioned || from in partitioned) return
            val reply = members.getValue(out.url).receive(nowMillis, out.heartbeat, idle) ?: return
            members.getValue(from).receive(nowMillis, reply.heartbeat, idle)
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
    fun hostsWithACommonSeedDiscoverEachOther() {
        val group = Group(size = 9)
        group.run(15_000)
        group.members.values.forEach { assertEquals(9, it.live().size) }
    }

    @Test
    fun silentHostIsDeadForAllWithinTenSecondsAndRejoinsAfterwards() {
        val group = Group(size = 9)
        group.run(15_000)
        group.partitioned += "http://h8"
        group.run(10_000)
        group.members.filterKeys { it != "http://h8" }.values.forEach { assertEquals(8, it.live().size) }
        group.partitioned.clear()
        group.run(40_000)
        group.members.values.forEach { assertEquals(9, it.live().size) }
    }

    @Test
    fun heartbeatContainsABoundedNumberOfMembers() {
        val group = Group(size = 60)
        group.run(60_000)
        val settings = MembershipSettings()
        assertTrue(
            group.largestHeartbeat <= settings.maxChangedMembers + settings.sampleMembers + 1,
            "${group.largestHeartbeat} members",
        )
        group.members.values.forEach { assertEquals(60, it.live().size) }
    }

    @Test
    fun suspectedHostRefutesByRaisingItsIncarnation() {
        val host = membership(number = 0, seeds = 0)
        val update = member(0, incarnation = 1).copy(status = MemberStatus.SUSPECT)
        host.receive(0, Heartbeat(member(1, 1), listOf(update)), idle)
        assertEquals(MemberStatus.ALIVE, host.selfMember.status)
        assertEquals(2, host.selfMember.incarnation)
    }

    @Test
    fun deathOfAnEarlierIncarnationDoesNotRemoveARestartedHost() {
        val observer = membership(number = 0, seeds = 0)
        observer.receive(0, Heartbeat(member(1, incarnation = 7)), idle)
        val old = member(1, incarnation = 3).copy(status = MemberStatus.DEAD)
        observer.receive(1, Heartbeat(member(2, incarnation = 1), listOf(old)), idle)
        assertTrue(HostId("h1") in observer.live().map { it.host })
    }

    @Test
    fun gossipedDeathAfterAPartitionOnlyMakesAnAliveHostSuspected() {
        val observer = membership(number = 0, seeds = 0)
        observer.receive(0, Heartbeat(member(1, incarnation = 1)), idle)
        val update = member(1, incarnation = 1).copy(status = MemberStatus.DEAD)
        observer.receive(100, Heartbeat(member(2, 1), listOf(update)), idle)
        assertEquals(MemberStatus.ALIVE, observer.find(HostId("h1"))?.status)
        observer.receive(20_000, Heartbeat(member(2, 1), listOf(update)), idle)
        assertEquals(MemberStatus.SUSPECT, observer.find(HostId("h1"))?.status)
    }

    @Test
    fun leavingHostIsNotLive() {
        val observer = membership(number = 0, seeds = 0)
        val leaver = membership(number = 1, seeds = 0)
        observer.receive(0, Heartbeat(leaver.selfMember), idle)
        leaver.leave()
        observer.receive(1, Heartbeat(leaver.selfMember), idle)
        assertEquals(listOf(HostId("h0")), observer.live().map { it.host })
    }

    @Test
    fun onlyTheKeysOfARemovedHostChangeOwner() {
        val hosts = (0 until 9).map { HostId("h$it") }
        val keys = (0 until 200).map { "pool-$it" }
        val before = keys.associateWith { rendezvousOrder(it, hosts).first() }
        val after = keys.associateWith { rendezvousOrder(it, hosts - HostId("h4")).first() }
        keys.forEach { if (before[it] != HostId("h4")) assertEquals(before[it], after[it]) }
        assertTrue(before.values.toSet().size == 9, "every host owns a key")
    }
}
