package buckthornbay.soak

import buckthornbay.testkit.platform.PlatformStoreServer
import org.apache.commons.rng.UniformRandomProvider

/** Injects one fault after another; several may be in force at once. */
internal class FaultInjector(
    private val store: PlatformStoreServer,
    private val storeProxies: List<FaultProxy>,
    private val upstreams: SoakUpstreams,
    private val fleet: RouterFleet,
    private val random: UniformRandomProvider,
    private val soundness: Soundness,
    private val note: (String) -> Unit,
) {
    private val paused = HashSet<RouterHost>()
    private val kinds: List<() -> Any?> = listOf(
        { host()?.let { act("host is killed", it) { kill() } } },
        { host()?.let { act("host is asked to stop", it) { terminate() } } },
        ::pauseOrWake,
        { soundness.host(linkFault("store", storeProxies), sound = false) },
        { linkFault("upstream", upstreams.proxies) },
        { reset("store", storeProxies).let { soundness.host(it, soundness.since(it) != null) } },
        { reset("upstream", upstreams.proxies) },
        ::replaceUpstream,
        ::toggleBadAnswers,
        ::toggleBusyStore,
        ::toggleSlowStore,
        ::toggleLostReplies,
        ::forgetHistory,
        ::healLinks,
        ::healLinks,
    )

    /** Injects the next fault, or ends one. */
    fun next() {
        restartEnded()
        pick(kinds)()
    }

    /** Ends every fault and starts every host that ended. */
    fun heal() {
        wakeAll()
        if (store.faults.busy) toggleBusyStore()
        if (store.faults.delayMillis > 0) toggleSlowStore()
        if (store.faults.losesReplies) toggleLostReplies()
        upstreams.badOneIn = 0
        healLinks()
        fleet.hosts.forEach { if (!it.isAlive) it.start() }
    }

    private fun host(): RouterHost? = fleet.hosts.filter { it.isAlive && it !in paused }.takeIf { it.size > 1 }?.let(::pick)

    private fun <T> pick(all: List<T>): T = all[random.nextInt(all.size)]

    private fun act(what: String, host: RouterHost, action: RouterHost.() -> Unit) {
        val number = fleet.hosts.indexOf(host)
        note("$what: $number")
        soundness.host(number, sound = false)
        host.action()
        if (host.isAlive && host !in paused) soundness.host(number, sound = true)
    }

    private fun restartEnded() = fleet.hosts.filterNot { it.isAlive }.forEach { act("host is started", it) { start() } }

    private fun pauseOrWake() {
        if (paused.isNotEmpty()) return wakeAll()
        val host = host() ?: return
        paused += host
        act("host is paused", host) { signal("STOP") }
    }

    private fun wakeAll() {
        val waking = paused.toList()
        paused.clear()
        waking.forEach { host -> act("host is woken", host) { signal("CONT") } }
    }

    /** Disturbs one of the [proxies] and returns which. */
    private fun linkFault(what: String, proxies: List<FaultProxy>): Int {
        val number = random.nextInt(proxies.size)
        val fault = pick(LinkFault.entries.drop(1))
        note("link to $what $number: $fault")
        proxies[number].fault = fault
        return number
    }

    /** Resets the connections of one of the [proxies] and returns which. */
    private fun reset(what: String, proxies: List<FaultProxy>): Int {
        val number = random.nextInt(proxies.size)
        note("link to $what $number is reset")
        proxies[number].resetAll()
        return number
    }

    private fun replaceUpstream() {
        val service = pick(listOf("plain", "models"))
        note("an upstream of $service leaves")
        upstreams.replaceOne(service)
    }

    private fun toggleBadAnswers() {
        upstreams.badOneIn = if (upstreams.badOneIn == 0) BAD_ONE_IN else 0
        note("one answer in ${upstreams.badOneIn} is bad")
    }

    private fun toggleBusyStore() {
        store.faults.busy = !store.faults.busy
        storeChanged("the store is busy: ${store.faults.busy}")
    }

    private fun toggleSlowStore() {
        store.faults.delayMillis = if (store.faults.delayMillis > 0) 0 else SLOW_STORE_MILLIS
        storeChanged("the store takes ${store.faults.delayMillis} ms more")
    }

    private fun toggleLostReplies() {
        store.faults.losesReplies = !store.faults.losesReplies
        storeChanged("the store loses its replies to writes: ${store.faults.losesReplies}")
    }

    private fun forgetHistory() {
        store.compact()
        storeChanged("the store forgets its history")
    }

    private fun storeChanged(what: String) {
        note(what)
        val faults = store.faults
        soundness.store(!faults.busy && faults.delayMillis == 0L && !faults.losesReplies)
    }

    private fun healLinks() {
        storeProxies.forEachIndexed { number, proxy -> if (proxy.fault != LinkFault.NONE) healed(number) }
        (storeProxies + upstreams.proxies).forEach { it.fault = LinkFault.NONE }
        note("links are sound")
    }

    private fun healed(number: Int) {
        val host = fleet.hosts[number]
        if (host.isAlive && host !in paused) soundness.host(number, sound = true)
    }

    private companion object {
        const val BAD_ONE_IN = 7

        /** Delay of each answer of a slow store, in milliseconds; longer than routers wait for one. */
        const val SLOW_STORE_MILLIS = 1_500L
    }
}
