package buckthornbay.router.gateway

/** The position in a caller's event stream, from which a resumed stream continues without gaps or duplicates. */
internal class StreamProgress {
    /** The relation of an event to the events already passed on. */
    enum class Verdict {
        /** The event is the next one and is passed on. */
        NEXT,

        /** The caller has already received the event. */
        SEEN,

        /** Events between the last one passed on and this one are missing. */
        MISSED,
    }

    private var lastNumber: Long? = null
    private var consecutive = true
    private var resuming = false

    /** Id of the last event with a numeric id that was passed on; null before the first one. */
    var lastId: String? = null
        private set

    /** Records that another upstream continues the stream; its first new event must follow the last one passed on. */
    fun resumed() {
        resuming = true
    }

    /**
     * Classifies the event with [id] and advances the position. Events without a numeric id are [Verdict.NEXT].
     *
     * After a resumption, a gap between ids means a missing event unless the ids of this stream had gaps before. An event without
     * an id can't be known to follow then, and may be something else than the rest of the stream, such as the text of an error.
     */
    fun accept(id: String?): Verdict {
        val number = id?.toLongOrNull() ?: return if (resuming && lastNumber != null) Verdict.MISSED else Verdict.NEXT
        val last = lastNumber
        if (last != null && number <= last) return Verdict.SEEN
        val follows = last == null || number == last + 1
        if (resuming && consecutive && !follows) return Verdict.MISSED
        resuming = false
        consecutive = consecutive && follows
        lastNumber = number
        lastId = id
        return Verdict.NEXT
    }
}
