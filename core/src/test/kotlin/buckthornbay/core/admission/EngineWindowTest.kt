package buckthornbay.core.admission

import buckthornbay.protocol.HostId
import buckthornbay.protocol.ServiceId
import buckthornbay.protocol.WorkspaceId
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class EngineWindowTest {
    private val service = ServiceId("models")
    private val workspace = WorkspaceId("workspace")
    private val settings = EngineWindowSettings()
    private val work = EngineWorkAccounts()
    private var hosts = 72
    private val window = EngineWindow(work, { hosts }, settings) { ENGINES }

    @Test
    fun slowerEnginesMayHaveLessPending() {
        work.putSnapshot(0, "others", mapOf(service to EngineWork(10_000_000.0, 4_000_000.0)))
        val before = window.hostTokens(0, service, hostFraction = 0.5)
        work.putSnapshot(0, "others", mapOf(service to EngineWork(10_000_000.0, 2_000_000.0)))
        assertEquals(before / 2, window.hostTokens(0, service, hostFraction = 0.5))
    }

    /** Else nothing would be sent again after the engines have begun nothing for a while. */
    @Test
    fun enginesThatBeginNothingMayHaveSomeWorkPending() {
        val limit = window.hostTokens(0, service, hostFraction = 1.0)
        assertTrue(limit >= settings.minTokensPerEngine * ENGINES)
    }

    /** A limit by what begins would lower itself. */
    @Test
    fun enginesThatAreAskedForLittleMayHaveAsMuchPendingAsTheyCanBegin() {
        val byCapacity = EngineWindow(work, { hosts }, settings, { 4_000_000.0 }) { ENGINES }
        work.putSnapshot(0, "others", mapOf(service to EngineWork(100_000.0, 400_000.0)))
        assertTrue(byCapacity.hostTokens(0, service, hostFraction = 0.5) >= 800_000.0)
        assertTrue(window.hostTokens(0, service, hostFraction = 0.5) < 800_000.0)
    }

    @Test
    fun aSmallFleetIsNotLimited() {
        hosts = 12
        work.putSnapshot(0, "others", mapOf(service to EngineWork(5_000_000.0, 1_500_000.0)))
        assertEquals(Double.MAX_VALUE, window.hostTokens(0, service, hostFraction = 0.1))
    }

    /** The others' reports expire, so that a host that is cut off goes on with what it sees itself. */
    @Test
    fun reportsOfHostsThatAreSilentExpire() {
        work.putSnapshot(0, "others", mapOf(service to EngineWork(5_000_000.0, 1_500_000.0)))
        assertEquals(EngineWork(), work.fleetWork(3_000, service))
    }

    @Test
    fun workThatBeginsOrIsDroppedIsNoLongerPending() {
        work.sent(service, 12_000.0)
        work.sent(service, 5_000.0)
        work.begun(0, service, 12_000.0)
        assertEquals(EngineWork(5_000.0, 12_000.0), work.ownWork(0, service))
        work.dropped(service, 5_000.0)
        assertEquals(0.0, work.ownWork(0, service).pendingTokens)
    }

    /** A workspace that is rejected much must not look well served, on any host. */
    @Test
    fun rejectedWorkIsTakenBackFromTheLedgerOfAllHosts() {
        val own = FleetAccounts(4_000.0)
        val peer = FleetAccounts(4_000.0)
        peer.receive(0, HostId("own"), 1, own.totals())
        own.charge(0, workspace, 12_000.0)
        peer.receive(0, HostId("own"), 1, own.totals())
        own.refund(500, workspace, 12_000.0, chargedAtMillis = 0)
        peer.receive(500, HostId("own"), 1, own.totals())
        assertEquals(0.0, own.recentTokens(500, workspace), 1.0)
        assertEquals(0.0, peer.recentTokens(500, workspace), 1.0)
    }

    /** A late repetition, and a request that is refused, leave the share to requests that can still be served in time. */
    @Test
    fun aShareIsNotSpentByRequestsThatAreRefused() {
        val demand = newDemand()
        val shares = sharesOf(demand, EvenHosts(1), 10_000.0)
        repeat(100) { shares.tryAcquire(1_000, workspace, 1_000.0, isLate = true) }
        repeat(4) { assertTrue(shares.tryAcquire(1_000, workspace, 1_000.0), "request $it") }
        var granted = 0.0
        for (nowMillis in 2_000L until 6_000L step 10L) if (shares.tryAcquire(nowMillis, workspace, 1_000.0)) granted += 1_000.0
        assertTrue(granted >= 4 * 10_000.0, "$granted tokens, none of which began, are within the share of four seconds")
    }

    private companion object {
        const val ENGINES = 78
    }
}
