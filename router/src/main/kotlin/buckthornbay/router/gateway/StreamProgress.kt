package buckthornbay.router.gateway

/** How far a caller's event stream has come, so that a continuation joins without a gap or a repetition. */
internal class StreamProgress {
    /** What is to be done with an event. */
    enum class Verdict {
        /** It is the next one. */
        NEXT,

        /** The caller has it already. */
        SEEN,

        /** Events before it are missing. */
        MISSED,
    }

    private var lastNumber: Long? = null
    private var consecutive = true
    private var joining = false

    /** The id of the last event that was passed on, or null before the first. */
    var lastId: String? = null
        private set

    /** Another upstream continues the stream; its first event must join the last one. */
    fun resumed() {
        joining = true
    }

    /** Decides about the event [id]; events without a number are taken as they come. */
    fun accept(id: String?): Verdict {
        val number = id?.toLongOrNull() ?: return Verdict.NEXT
        val last = lastNumber
        if (last != null && number <= last) return Verdict.SEEN
        val follows = last == null || number == last + 1
        if (joining && consecutive && !follows) return Verdict.MISSED
        joining = false
        consecutive = consecutive && follows
        lastNumber = number
        lastId = id
        return Verdict.NEXT
    }
}
