package buckthornbay.router.gateway

import buckthornbay.router.gateway.StreamProgress.Verdict
import io.netty.buffer.Unpooled
import io.netty.buffer.UnpooledByteBufAllocator
import kotlin.test.Test
import kotlin.test.assertEquals

class EventStreamFramingTest {
    private val events =
        listOf("id: 1\ndata: a\n\n", "x-weight-versions: 2\nid: 12\ndata: b\ndata: c\n\n", "id:3\r\ndata: d\r\n\r\n")

    @Test
    fun eventsAreCompleteForEveryChunkSize() {
        val text = events.joinToString("")
        for (pieceBytes in 1..text.length) {
            val framing = EventStreamFraming(UnpooledByteBufAllocator.DEFAULT)
            val seen = ArrayList<Pair<String?, String>>()
            text.chunked(pieceBytes).forEach { piece ->
                framing.feed(Unpooled.copiedBuffer(piece, Charsets.UTF_8)) { event ->
                    seen.add(Pair(event.id, event.bytes.toString(Charsets.UTF_8)))
                }
            }
            val whole: List<Pair<String?, String>> = listOf("1" to events[0], "12" to events[1], "3" to events[2])
            assertEquals(whole, seen.toList(), "chunks of $pieceBytes bytes")
            assertEquals(0, framing.incompleteBytes)
        }
    }

    @Test
    fun incompleteEventIsNotEmitted() {
        val framing = EventStreamFraming(UnpooledByteBufAllocator.DEFAULT)
        var count = 0
        framing.feed(Unpooled.copiedBuffer("id: 1\ndata: a\n\nid: 2\nda", Charsets.UTF_8)) { count++ }
        assertEquals(1, count)
        assertEquals("id: 2\nda", framing.takeRest()?.toString(Charsets.UTF_8))
    }

    /** A receiver that finds a gap ends the attempt, which releases the framing, while events of the same read are left. */
    @Test
    fun noEventFollowsTheOneAtWhichTheReceiverStops() {
        val framing = EventStreamFraming(UnpooledByteBufAllocator.DEFAULT)
        val seen = ArrayList<String?>()
        framing.feed(Unpooled.copiedBuffer(events.joinToString(""), Charsets.UTF_8)) { event ->
            seen += event.id
            event.bytes.release()
            framing.release()
        }
        assertEquals(listOf<String?>("1"), seen.toList())
        assertEquals(0, framing.incompleteBytes)
    }

    @Test
    fun resumedStreamMustContinueAfterTheLastEvent() {
        val progress = StreamProgress()
        assertEquals(listOf(Verdict.NEXT, Verdict.NEXT), listOf("1", "2").map(progress::accept))
        progress.resumed()
        assertEquals(Verdict.SEEN, progress.accept("2"))
        assertEquals(Verdict.MISSED, progress.accept("4"))
        assertEquals(Verdict.NEXT, progress.accept("3"))
        assertEquals("3", progress.lastId)
    }

    @Test
    fun streamWhoseIdsHaveGapsMayHaveAGapAfterAResumption() {
        val progress = StreamProgress()
        listOf("10", "20").forEach { progress.accept(it) }
        progress.resumed()
        assertEquals(Verdict.NEXT, progress.accept("30"))
    }
}
