package buckthornbay.core.pool

/** An estimate of the cost units that one busy slot serves per millisecond, from sums that decay with each observation. */
internal class ServiceRate {
    private var busyMillis = 0.0
    private var progressUnits = 0.0

    fun observe(busyMillis: Long, progressUnits: Double) {
        this.busyMillis = this.busyMillis * DECAY_FACTOR + maxOf(0, busyMillis)
        this.progressUnits = this.progressUnits * DECAY_FACTOR + maxOf(0.0, progressUnits)
    }

    /** Returns the cost units that one slot serves in [periodMillis] milliseconds; one per millisecond without progress. */
    fun unitsPerSlot(periodMillis: Long): Double {
        if (busyMillis <= 0 || progressUnits <= 0) return periodMillis.toDouble()
        return progressUnits / busyMillis * periodMillis
    }

    private companion object {
        const val DECAY_FACTOR = 0.95
    }
}
