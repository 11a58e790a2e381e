package buckthornbay.core.pool

import kotlin.math.round

private const val STEPS_PER_UNIT = 10.0

/** Rounds [units] to a tenth of a cost unit, the precision of figures in peer messages. */
internal fun rounded(units: Double): Double = round(units * STEPS_PER_UNIT) / STEPS_PER_UNIT
