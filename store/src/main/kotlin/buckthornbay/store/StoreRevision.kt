package buckthornbay.store

/**
 * Revisions of a store that may be restored from a copy, after which it gives out revisions again.
 *
 * Each restore raises the store's era. A revision is combined with its era, so that whatever compares revisions orders those of
 * different eras correctly: in watches, in what hosts know, and in messages between hosts. Without eras it is the plain revision.
 */
public object StoreRevision {
    /** Returns the [revision] of [era] as one number. */
    public fun of(era: Long, revision: Long): Long = (era shl REVISION_BITS) or (revision and REVISION_MASK)

    /** Returns the era of a [combined] revision. */
    public fun eraOf(combined: Long): Long = combined ushr REVISION_BITS

    /** Returns the store's own number of a [combined] revision. */
    public fun plain(combined: Long): Long = combined and REVISION_MASK

    /** Bits of the store's own number: enough for a million changes a second for half a year. */
    private const val REVISION_BITS = 44
    private const val REVISION_MASK = (1L shl REVISION_BITS) - 1
}
