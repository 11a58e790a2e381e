package buckthornbay.core.pool

import kotlin.math.round

private const val STEPS_PER_UNIT = 10.0

/** Rounds a figure to a tenth of a cost unit, which is as fine as hosts tell each other. */
internal fun rounded(units: Double): Double = round(units * STEPS_PER_UNIT) / STEPS_PER_UNIT
