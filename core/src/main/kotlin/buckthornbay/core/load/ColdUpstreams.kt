package buckthornbay.core.load

import buckthornbay.core.registry.UpstreamEntry
import buckthornbay.protocol.ServiceId

/**
 * The upstreams that are cold, and the requests per second that all hosts together may send to each.
 *
 * Load: a zone's engines come back together, cold, while other engines are full; each takes a few requests per second for some
 * seconds and crashes at a rate well above that.
 *
 * All hosts aim at the rate that an upstream takes; what the operator tolerates beyond it is the margin for hosts that divide it
 * differently, or that are cut off and know an older list. When an upstream is no longer cold, its rate doubles every
 * [ColdUpstreamSettings.doublingMillis] before the limit ends, so that its load rises without a step.
 */
public class ColdUpstreams(private val settings: ColdUpstreamSettings = ColdUpstreamSettings()) {
    private class Cold(val sequence: Long?, val leftMillis: Long, val untilMillis: Long, val perSecond: Double) {
        fun isStatedBy(entry: UpstreamEntry): Boolean = sequence == entry.sequence && leftMillis == entry.coldLeftMillis
    }

    private val cold = LinkedHashMap<String, Cold>()

    /** Number of upstreams with a limit. */
    public val size: Int get() = cold.size

    /**
     * Adopts what [registered] upstreams say of themselves, and forgets all others.
     *
     * @param perSecondOf returns the requests per second that a cold upstream of a service takes; null if it takes any.
     */
    public fun update(nowMillis: Long, registered: List<UpstreamEntry>, perSecondOf: (ServiceId) -> Double?) {
        cold.keys.retainAll(registered.map { it.incarnation }.toSet())
        for (entry in registered) {
            val known = cold[entry.incarnation]
            if (if (known == null) entry.coldLeftMillis <= 0 else known.isStatedBy(entry)) continue
            val perSecond = perSecondOf(entry.service) ?: continue
            cold[entry.incarnation] = Cold(entry.sequence, entry.coldLeftMillis, nowMillis + entry.coldLeftMillis, perSecond)
        }
    }

    /** Returns the limits by incarnation, in requests per second of all hosts together. */
    public fun limits(nowMillis: Long): Map<String, Double> {
        cold.values.removeIf { nowMillis - it.untilMillis >= settings.rampMillis }
        return cold.mapValues { (_, it) -> limitOf(it, nowMillis) }
    }

    private fun limitOf(cold: Cold, nowMillis: Long): Double {
        val doublings = (nowMillis - cold.untilMillis).coerceAtLeast(0) / settings.doublingMillis
        return cold.perSecond * (1L shl doublings.toInt())
    }
}

/**
 * Constants of [ColdUpstreams].
 *
 * @property doublingMillis time in which the limit doubles after the cold time, in milliseconds: some responses of an engine.
 * @property rampMillis time after the cold time at which the limit ends, in milliseconds; three doublings are more than an engine
 * serves.
 */
public data class ColdUpstreamSettings(public val doublingMillis: Long = 500, public val rampMillis: Long = 2_000)
