package buckthornbay.protocol

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class EnvelopeStreamTest {
    private val pool = PoolId(ServiceId("drafting"), RegionId("north"))
    private val host = HostId("north-1")
    private val member = Member(host, "http://127.0.0.1:1", RegionId("north"), ZoneId("north-a"), 1)

    private val everyMessage: List<PeerMessage> = listOf(
        Heartbeat(member, listOf(member.copy(status = MemberStatus.DEAD)), stateVersion = 4),
        DemandReport(pool, host, 1, 2, workspaces = listOf(WorkspaceDemand(WorkspaceId("a"), servedUnits = 1.5))),
        Allocation(pool, host, host, 1, 2, 5_000, slots = listOf(SlotGrant(UpstreamId("u"), 3, probeOnly = true))),
        ServiceTotals(pool, host, 1, 2, listOf(WorkspaceTotal(WorkspaceId("a"), 2.5))),
    )

    private fun envelope(number: Long) = PeerEnvelope(host, incarnation = 1, sequence = number, everyMessage)

    @Test
    fun messagesAreDecodedWhereverTheStreamIsSplit() {
        val sent = (1L..5L).map(::envelope)
        for (pieceBytes in listOf(1, 7, 64, 10_000)) {
            val bytes = EnvelopeEncoder().use { encoder -> sent.map { encoder.encode(it) }.reduce(ByteArray::plus) }
            val received = EnvelopeDecoder().use { decoder ->
                bytes.toList().chunked(pieceBytes).flatMap { decoder.decode(it.toByteArray(), it.size) }
            }
            assertEquals(sent, received, "pieces of $pieceBytes bytes")
        }
    }

    @Test
    fun envelopeIsDecodedAsSoonAsItsBytesArrive() {
        EnvelopeEncoder().use { encoder ->
            EnvelopeDecoder().use { decoder ->
                for (number in 1L..20L) {
                    val bytes = encoder.encode(envelope(number))
                    assertEquals(listOf(envelope(number)), decoder.decode(bytes, bytes.size))
                }
            }
        }
    }

    @Test
    fun repeatedEnvelopesCompressToLessThanAQuarter() {
        val text = WireJson.encodeToString(PeerEnvelope.serializer(), envelope(1)).length
        val later = EnvelopeEncoder().use { encoder -> (1L..20L).map { encoder.encode(envelope(it)).size }.last() }
        assertTrue(later < text / 4, "$later of $text bytes")
    }
}
