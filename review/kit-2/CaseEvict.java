import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/** Clients read large answers slowly, all at the same time. */
public final class CaseEvict {
    private static final int CLIENTS = 14;
    private static final int ANSWER_BYTES = 4_000_000;
    private static final int WINDOW_BYTES = 4_096;
    private static final int STAGGER_MILLIS = 250;
    private static final int SLOW_MILLIS = 6_000;
    private static final int SLOW_BYTES_PER_SECOND = 100_000;

    private CaseEvict() {
    }

    public static void main(String[] args) throws Exception {
        String framing = args[1];
        Kit.main(args, () -> run(framing));
    }

    private static boolean run(String framing) throws Exception {
        Kit.Store store = new Kit.Store();
        store.put("config", "main", Kit.manifest(1, Kit.route("pull", "safe", "plain", 15_000, 2, false)));
        new Kit.WorkerProcess(store, "plain-1", "plain");
        new Kit.WorkerProcess(store, "plain-2", "plain");
        Kit.Ports ports = new Kit.Ports();
        Kit.RouterProcess router = new Kit.RouterProcess(store, ports, 1, 1).start();
        router.awaitReady();
        Kit.sleep(1_000);
        AtomicInteger wrong = new AtomicInteger();
        AtomicInteger lost = new AtomicInteger();
        List<Thread> clients = new ArrayList<>();
        for (int i = 1; i <= CLIENTS; i++) {
            String id = "pull-" + i;
            Kit.sleep(STAGGER_MILLIS);
            clients.add(Kit.background(id, () -> {
                try (Kit.Client client = new Kit.Client(router.front(), WINDOW_BYTES)) {
                    client.send("GET", "/pull/x?bytes=800", "first-" + id, 15_000, "", "");
                    client.read(0, 15_000);
                    client.send("GET", "/pull/x?framing=" + framing + "&bytes=" + ANSWER_BYTES, id, 15_000, "", "");
                    client.slow(Kit.TROUBLE ? SLOW_MILLIS : 0, SLOW_BYTES_PER_SECOND);
                    Kit.Answer answer = client.read(0, 15_000);
                    int read = answer.body.size();
                    Kit.note("client of " + id + ": status " + answer.status + ", framed by " + answer.framing + ", seal "
                        + (answer.head == null ? null : answer.head.get("X-Buckthornbay-Server-Seal")) + ", " + read + " of "
                        + ANSWER_BYTES + " bytes; " + answer.end);
                    if (answer.status.equals("200") && read < ANSWER_BYTES && answer.looksComplete) {
                        wrong.incrementAndGet();
                        Kit.note("MIXED: the answer to " + id + " ended early and looks complete");
                    } else if (!answer.looksComplete) {
                        lost.incrementAndGet();
                        Kit.note("LOST: the channel was closed without a complete answer to " + id);
                    }
                }
            }));
        }
        for (Thread client : clients) {
            client.join(20_000);
        }
        router.noteLog("response_dropped", "event=ended", "buffer");
        return wrong.get() == 0 && lost.get() <= 3;
    }
}
