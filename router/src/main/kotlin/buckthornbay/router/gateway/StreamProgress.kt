package buckthornbay.router.gateway

/** How far a caller's event stream has come, so that a continuation joins without a gap or a repetition. */
internal class StreamProgress {
    /** What is to be done with an event. */
    enum class Verdict { NEXT, SEEN, GAP }

    private var lastNumber: Long? = null
    private var consecutive = true

    /** The id of the last event that was passed on, or null before the first. */
    var lastId: String? = null
        private set

    /** Decides about the event [id]; events without a number are taken as they come. */
    fun accept(id: String?): Verdict {
        val number = id?.toLongOrNull() ?: return Verdict.NEXT
        val last = lastNumber
        if (last != null && number <= last) return Verdict.SEEN
        if (last != null && consecutive && number > last + 1 && resumedIds) return Verdict.GAP
        consecutive = consecutive && (last == null || number == last + 1)
        lastNumber = number
        lastId = id
        return Verdict.NEXT
    }

    private val resumedIds: Boolean get() = lastId != null
}
