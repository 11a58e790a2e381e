package buckthornbay.core.pool

/** Learns how many cost units one busy slot serves in a millisecond. */
internal class ServiceRate {
    private var busyMillis = 0.0
    private var progressUnits = 0.0

    fun observe(busyMillis: Long, progressUnits: Double) {
        this.busyMillis = this.busyMillis * MEMORY + maxOf(0, busyMillis)
        this.progressUnits = this.progressUnits * MEMORY + maxOf(0.0, progressUnits)
    }

    /** Returns what one slot serves in [horizonMillis] milliseconds, in cost units. */
    fun unitsPerSlot(horizonMillis: Long): Double {
        if (busyMillis <= 0 || progressUnits <= 0) return horizonMillis.toDouble()
        return progressUnits / busyMillis * horizonMillis
    }

    private companion object {
        const val MEMORY = 0.95
    }
}
