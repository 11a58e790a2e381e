import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/** A router gets SIGTERM while clients still read, slowly, answers that their worker has finished. */
public final class CaseSlow {
    private static final int CLIENTS = 5;
    private static final int ANSWER_BYTES = 4_000_000;
    private static final int WINDOW_BYTES = 4_096;
    private static final int SLOW_MILLIS = 5_500;
    private static final int SLOW_BYTES_PER_SECOND = 100_000;

    private CaseSlow() {
    }

    public static void main(String[] args) throws Exception {
        String framing = args[1];
        Kit.main(args, () -> run(framing));
    }

    private static boolean run(String framing) throws Exception {
        Kit.Store store = new Kit.Store();
        store.put("config", "main", Kit.manifest(1, Kit.route("pull", "safe", "plain", 15_000, 2, false)));
        new Kit.WorkerProcess(store, "plain-1", "plain");
        Kit.Ports ports = new Kit.Ports();
        Kit.RouterProcess first = new Kit.RouterProcess(store, ports, 1, 2).start();
        Kit.RouterProcess second = new Kit.RouterProcess(store, ports, 2, 2).start();
        first.awaitReady();
        second.awaitReady();
        Kit.sleep(1_500);
        AtomicInteger wrong = new AtomicInteger();
        AtomicInteger early = new AtomicInteger();
        List<Thread> clients = new ArrayList<>();
        for (int i = 1; i <= CLIENTS; i++) {
            String id = "pull-" + i;
            clients.add(Kit.background(id, () -> {
                try (Kit.Client client = new Kit.Client(first.front(), WINDOW_BYTES)) {
                    client.send("GET", "/pull/x?framing=" + framing + "&bytes=" + ANSWER_BYTES, id, 15_000, "", "");
                    client.slow(SLOW_MILLIS, SLOW_BYTES_PER_SECOND);
                    Kit.Answer answer = client.read(0, 15_000);
                    int read = answer.body.size();
                    Kit.note("client of " + id + ": status " + answer.status + ", framed by " + answer.framing + ", " + read
                        + " of " + ANSWER_BYTES + " bytes; " + answer.end);
                    if (read < ANSWER_BYTES && answer.looksComplete) {
                        wrong.incrementAndGet();
                        Kit.note("MIXED: the answer to " + id + " ended early and looks complete");
                    } else if (read < ANSWER_BYTES) {
                        early.incrementAndGet();
                        Kit.note("LOST: the answer to " + id + " was cut off");
                    }
                }
            }));
        }
        Kit.sleep(1_000);
        if (Kit.TROUBLE) {
            first.process.destroy();
            Kit.note("router " + first.name + " got SIGTERM");
        }
        for (Thread client : clients) {
            client.join(16_000);
        }
        first.noteLog("event=drained", "event=stop", "event=ended");
        return wrong.get() + early.get() == 0;
    }
}
