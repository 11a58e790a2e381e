package buckthornbay.core.load

import org.apache.commons.codec.digest.MurmurHash3
import kotlin.math.roundToInt

/**
 * The part of the fleet's demand that is at one host, if the demands of all hosts are lined up in an order that the hosts share.
 *
 * @property start part of the demand that is at the hosts before this one, from 0 to 1.
 * @property length part of the demand that is at this host, from 0 to 1.
 */
public data class DemandSegment(public val start: Double, public val length: Double) {
    public val end: Double get() = start + length
}

/**
 * The division of the request rate limits that upstreams state among the hosts of the fleet.
 *
 * Load: overloaded engines state a few requests per second for all hosts together; the demand differs from host to host, and
 * the busy hosts may all be in one availability zone.
 *
 * In a small fleet a host has the part of each limit that corresponds to its demand. Each host that uses an upstream may send
 * one request at any time, and in a large fleet these would add up to a multiple of the limit. There, the limits are divided
 * into slots of about [SLOT_RATE], which are lined up like the demand. A slot belongs to the host whose segment contains its
 * middle, so that each is used once and hosts get slots in proportion to their demand. A segment longer than a slot has an exact
 * part of those at its ends.
 *
 * @param hosts number of live hosts, with this one.
 * @param segment this host's part of the demand.
 * @param limits stated limits by upstream, in requests per second of all hosts together.
 */
public class RateLimitDivision(
    private val hosts: () -> Int,
    private val segment: (nowMillis: Long) -> DemandSegment,
    private val limits: () -> Map<String, Double>,
) {
    private class Slot(val upstream: String, val perSecond: Double)

    private var slottedLimits = emptyMap<String, Double>()
    private var slots = emptyList<Slot>()
    private var ownRates = emptyMap<String, Double>()
    private var refreshedAtMillis = Long.MIN_VALUE / 2

    /** Returns the requests per second that this host may send to [upstream]; null if it states no limit. */
    public fun ownRate(nowMillis: Long, upstream: String): Double? {
        if (nowMillis - refreshedAtMillis >= REFRESH_MILLIS) refresh(nowMillis)
        return ownRates[upstream]
    }

    private fun refresh(nowMillis: Long) {
        refreshedAtMillis = nowMillis
        val stated = limits()
        if (stated.isEmpty()) {
            ownRates = emptyMap()
            return
        }
        val limits = stated.mapValues { maxOf(it.value, MIN_LIMIT) }
        val hosts = hosts()
        val own = segment(nowMillis)
        val shared = limits.filterValues { hosts <= it * BURST_SECONDS + BURST_REQUESTS }
        divideIntoSlots(limits - shared.keys)
        ownRates = shared.mapValues { it.value * own.length } + slotRates(own)
    }

    private fun divideIntoSlots(limits: Map<String, Double>) {
        if (limits == slottedLimits) return
        slottedLimits = limits
        slots = limits.flatMap { (upstream, limit) ->
            val count = (limit / SLOT_RATE).roundToInt().coerceAtLeast(1)
            List(count) { number -> hashOf("$upstream|$number") to Slot(upstream, limit / count) }
        }.sortedWith(compareBy({ it.first }, { it.second.upstream })).map { it.second }
    }

    private fun slotRates(own: DemandSegment): Map<String, Double> {
        val rates = slottedLimits.keys.associateWithTo(HashMap()) { 0.0 }
        val start = own.start * slots.size
        val end = own.end * slots.size
        for (index in indexOf(start) until indexOf(end + 1.0)) {
            val slot = slots[index]
            rates.merge(slot.upstream, slot.perSecond * ownFraction(index, start, end), Double::plus)
        }
        return rates
    }

    /** Returns the part of the slot at [index] that belongs to the host whose segment reaches from [start] to [end], in slots. */
    private fun ownFraction(index: Int, start: Double, end: Double): Double = when {
        end - start >= 1.0 -> (minOf(end, index + 1.0) - maxOf(start, index.toDouble())).coerceAtLeast(0.0)
        index + MIDDLE in start..<end -> 1.0
        else -> 0.0
    }

    private fun indexOf(position: Double): Int = position.toInt().coerceIn(0, slots.size)

    private fun hashOf(key: String): Long {
        val bytes = key.encodeToByteArray()
        return MurmurHash3.hash128x64(bytes, 0, bytes.size, 0)[0]
    }

    private companion object {
        /** Minimum time between two computations of the rates, in milliseconds; messages of peers come less often. */
        const val REFRESH_MILLIS = 50L

        /** Requests that all hosts together may send at once: those of so many seconds of the limit, and a few more. */
        const val BURST_SECONDS = 2.0
        const val BURST_REQUESTS = 4.0

        /** Rate of a slot, in requests per second; each adds one request to what may be sent at once. */
        const val SLOT_RATE = 1.0

        /** Middle of a slot, as a part of its length. */
        const val MIDDLE = 0.5

        /** Least limit, in requests per second; without a response hosts would not learn that a limit has ended. */
        const val MIN_LIMIT = 0.5
    }
}
