package buckthornbay.core.admission

import buckthornbay.protocol.HostId
import buckthornbay.protocol.WorkspaceId
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue

class FairSharesTest {
    private val small = WorkspaceId("small")
    private val hot = WorkspaceId("hot")

    @Test
    fun demandsBelowTheLevelAreMetAndTheRestIsSplitEvenly() {
        assertEquals(40.0, maxMinLevel(listOf(10.0, 50.0, 90.0), capacity = 90.0))
        assertEquals(Double.MAX_VALUE, maxMinLevel(listOf(10.0, 20.0), capacity = 30.0))
        assertEquals(15.0, maxMinLevel(listOf(40.0, 40.0), capacity = 30.0))
    }

    /** The load: one workspace asks for eight times what all engines produce, another for a tenth of it, for six seconds. */
    @Test
    fun aHotWorkspaceDoesNotTakeASmallOnesShare() {
        val shares = FairShares(FleetAccounts(1_200.0))
        shares.tokensPerSecond = 100_000.0
        var hotWithin = 0.0
        for (nowMillis in 0L until 6_000L step 10L) {
            if (shares.tryAcquire(nowMillis, hot, 8_000.0)) hotWithin += 8_000.0
            if (nowMillis % 100L == 0L) assertTrue(shares.tryAcquire(nowMillis, small, 1_000.0), "at $nowMillis ms")
        }
        val due = 6.0 * 100_000.0
        assertTrue(hotWithin in due * 0.7..due * 1.4, "the hot workspace was admitted $hotWithin tokens of $due")
    }

    @Test
    fun withoutAKnownThroughputNothingIsBeyondAShare() {
        val shares = FairShares(FleetAccounts(1_200.0))
        repeat(1_000) { assertTrue(shares.tryAcquire(it.toLong(), hot, 50_000.0)) }
    }

    /** The load: the same workspace floods nine hosts; each host admits its part of one share, not a whole one. */
    @Test
    fun hostsDivideOneShareAmongThem() {
        val hosts = List(9) { HostId("host-$it") }
        val accounts = hosts.map { FleetAccounts(1_200.0) }
        val shares = accounts.map { asked -> FairShares(asked).apply { tokensPerSecond = 90_000.0 } }
        var within = 0.0
        for (nowMillis in 0L until 6_000L step 20L) {
            shares.forEach { if (it.tryAcquire(nowMillis, hot, 4_000.0) && nowMillis >= 2_000L) within += 4_000.0 }
            if (nowMillis % 400L == 0L) exchange(nowMillis, hosts, accounts)
        }
        val due = 4.0 * 90_000.0
        assertTrue(within <= due * 1.6, "admitted $within tokens of $due")
    }

    private fun exchange(nowMillis: Long, hosts: List<HostId>, accounts: List<FleetAccounts>) {
        for (from in hosts.indices) {
            for (to in hosts.indices - from) accounts[to].receive(nowMillis, hosts[from], 1, accounts[from].totals())
        }
    }

    @Test
    fun lostDoubledAndReorderedTotalsCountOnce() {
        val accounts = FleetAccounts(4_000.0)
        val host = HostId("peer")
        accounts.receive(0, host, 1, mapOf(hot to 100.0))
        assertEquals(0.0, accounts.recentTokens(0, hot), "totals of before this host listened are not recent")
        accounts.receive(0, host, 1, mapOf(hot to 300.0))
        accounts.receive(0, host, 1, mapOf(hot to 300.0))
        assertEquals(200.0, accounts.recentTokens(0, hot))
        accounts.receive(0, host, 0, mapOf(hot to 9_000.0))
        assertEquals(200.0, accounts.recentTokens(0, hot))
        accounts.receive(0, host, 2, mapOf(hot to 5.0))
        accounts.receive(0, host, 2, mapOf(hot to 55.0))
        assertEquals(250.0, accounts.recentTokens(0, hot))
    }

    @Test
    fun aWorkspaceYieldsOnlyToOneThatWaitsAndWasGivenLess() {
        val begun = FleetAccounts(4_000.0)
        val backlog = FleetBacklog(begun)
        begun.charge(0, hot, 200_000.0)
        begun.charge(0, small, 20_000.0)
        assertFalse(backlog.shouldYield(0, hot), "nobody waits")
        backlog.receive(0, HostId("peer"), listOf(small))
        assertTrue(backlog.shouldYield(100, hot))
        assertFalse(backlog.shouldYield(100, small))
        assertFalse(backlog.shouldYield(5_000, hot), "the report is old")
    }
}
