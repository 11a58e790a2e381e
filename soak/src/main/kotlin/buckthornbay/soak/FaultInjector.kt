package buckthornbay.soak

import buckthornbay.testkit.platform.PlatformStoreServer
import org.apache.commons.rng.UniformRandomProvider

/** A source of random faults: each step starts or ends one, and several may be active at once. */
internal class FaultInjector(
    private val store: PlatformStoreServer,
    private val storeProxies: List<FaultProxy>,
    private val upstreams: SoakUpstreams,
    private val fleet: RouterFleet,
    private val random: UniformRandomProvider,
    private val faultFreeTracker: FaultFreeTracker,
    private val recordFault: (String) -> Unit,
) {
    private val paused = HashSet<RouterHost>()
    private val actions: List<() -> Any?> = listOf(
        { randomHost()?.let { disruptHost("kill host", it) { kill() } } },
        { randomHost()?.let { disruptHost("terminate host", it) { terminate() } } },
        ::pauseOrResume,
        { faultFreeTracker.setHostFaultFree(injectLinkFault("store", storeProxies), isFaultFree = false) },
        { injectLinkFault("upstream", upstreams.proxies) },
        {
            resetConnections("store", storeProxies)
                .let { faultFreeTracker.setHostFaultFree(it, faultFreeTracker.hostFaultFreeSince(it) != null) }
        },
        { resetConnections("upstream", upstreams.proxies) },
        ::replaceUpstream,
        ::toggleFailures,
        ::toggleBusyStore,
        ::toggleSlowStore,
        ::toggleLostReplies,
        ::compactStore,
        ::healLinks,
        ::healLinks,
    )

    /** Restarts hosts that have exited, then injects a fault or ends an active one. */
    fun injectNext() {
        restartExited()
        pick(actions)()
    }

    /** Ends every fault and starts every host that has exited. */
    fun heal() {
        resumeAll()
        if (store.faults.busy) toggleBusyStore()
        if (store.faults.delayMillis > 0) toggleSlowStore()
        if (store.faults.losesReplies) toggleLostReplies()
        upstreams.requestsPerFailure = 0
        healLinks()
        fleet.hosts.forEach { if (!it.isAlive) it.start() }
    }

    private fun randomHost(): RouterHost? = fleet.hosts.filter { it.isAlive && it !in paused }.takeIf { it.size > 1 }?.let(::pick)

    private fun <T> pick(all: List<T>): T = all[random.nextInt(all.size)]

    private fun disruptHost(description: String, host: RouterHost, action: RouterHost.() -> Unit) {
        val number = fleet.hosts.indexOf(host)
        recordFault("$description: $number")
        faultFreeTracker.setHostFaultFree(number, isFaultFree = false)
        host.action()
        if (host.isAlive && host !in paused) faultFreeTracker.setHostFaultFree(number, isFaultFree = true)
    }

    private fun restartExited() = fleet.hosts.filterNot { it.isAlive }.forEach { disruptHost("start host", it) { start() } }

    private fun pauseOrResume() {
        if (paused.isNotEmpty()) return resumeAll()
        val host = randomHost() ?: return
        paused += host
        disruptHost("pause host", host) { signal("STOP") }
    }

    private fun resumeAll() {
        val resumed = paused.toList()
        paused.clear()
        resumed.forEach { host -> disruptHost("resume host", host) { signal("CONT") } }
    }

    /** Sets a fault on one of the [proxies] and returns its index. */
    private fun injectLinkFault(target: String, proxies: List<FaultProxy>): Int {
        val number = random.nextInt(proxies.size)
        val fault = pick(LinkFault.entries.drop(1))
        recordFault("link to $target $number: $fault")
        proxies[number].fault = fault
        return number
    }

    /** Resets the connections of one of the [proxies] and returns its index. */
    private fun resetConnections(target: String, proxies: List<FaultProxy>): Int {
        val number = random.nextInt(proxies.size)
        recordFault("link to $target $number: connections reset")
        proxies[number].resetAll()
        return number
    }

    private fun replaceUpstream() {
        val service = pick(listOf("plain", "models"))
        recordFault("an upstream of $service drains")
        upstreams.replaceOne(service)
    }

    private fun toggleFailures() {
        upstreams.requestsPerFailure = if (upstreams.requestsPerFailure == 0) REQUESTS_PER_FAILURE else 0
        recordFault("upstreams fail one request in ${upstreams.requestsPerFailure} (0: none)")
    }

    private fun toggleBusyStore() {
        store.faults.busy = !store.faults.busy
        recordStoreFault("store is busy: ${store.faults.busy}")
    }

    private fun toggleSlowStore() {
        store.faults.delayMillis = if (store.faults.delayMillis > 0) 0 else SLOW_STORE_MILLIS
        recordStoreFault("store delay: ${store.faults.delayMillis} ms")
    }

    private fun toggleLostReplies() {
        store.faults.losesReplies = !store.faults.losesReplies
        recordStoreFault("store loses replies to writes: ${store.faults.losesReplies}")
    }

    private fun compactStore() {
        store.compact()
        recordStoreFault("store compacts its history")
    }

    private fun recordStoreFault(description: String) {
        recordFault(description)
        val faults = store.faults
        faultFreeTracker.setStoreFaultFree(!faults.busy && faults.delayMillis == 0L && !faults.losesReplies)
    }

    private fun healLinks() {
        storeProxies.forEachIndexed { number, proxy -> if (proxy.fault != LinkFault.NONE) markHostFaultFree(number) }
        (storeProxies + upstreams.proxies).forEach { it.fault = LinkFault.NONE }
        recordFault("link faults cleared")
    }

    private fun markHostFaultFree(number: Int) {
        val host = fleet.hosts[number]
        if (host.isAlive && host !in paused) faultFreeTracker.setHostFaultFree(number, isFaultFree = true)
    }

    private companion object {
        const val REQUESTS_PER_FAILURE = 7

        /** Response delay of a slow store, in milliseconds; longer than the routers' timeout for its calls. */
        const val SLOW_STORE_MILLIS = 1_500L
    }
}
