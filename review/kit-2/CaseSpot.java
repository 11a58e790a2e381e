import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/** A worker that has reported that it leaves is gone before it has finished answers that end with their connection. */
public final class CaseSpot {
    private static final int STREAMS = 16;
    private static final int EVENTS = 40;

    private CaseSpot() {
    }

    public static void main(String[] args) throws Exception {
        Kit.main(args, CaseSpot::run);
    }

    private static boolean run() throws Exception {
        Kit.Store store = new Kit.Store();
        store.put("config", "main", Kit.manifest(1, Kit.route("brief", "stream", "engines", 12_000, 2, true)));
        Kit.WorkerProcess leaving = new Kit.WorkerProcess(store, "engine-1", "engines");
        for (int i = 2; i <= 4; i++) {
            new Kit.WorkerProcess(store, "engine-" + i, "engines");
        }
        Kit.Ports ports = new Kit.Ports();
        Kit.RouterProcess router = new Kit.RouterProcess(store, ports, 1, 1).start();
        router.awaitReady();
        Kit.sleep(1_000);
        AtomicInteger wrong = new AtomicInteger();
        List<Thread> clients = new ArrayList<>();
        for (int i = 1; i <= STREAMS; i++) {
            String id = "stream-" + i;
            clients.add(Kit.background(id, () -> {
                try (Kit.Client client = new Kit.Client(router.front(), 0)) {
                    client.send("POST", "/brief/x?framing=none&gap=100&events=" + EVENTS, id, 12_000,
                        "X-Buckthornbay-Model: m\r\nX-Buckthornbay-Token-Count: 800,280\r\n", "prompt");
                    Kit.Answer answer = client.read(0, 12_000);
                    int events = Kit.eventIds(answer.text()).size();
                    Kit.note("client of " + id + ": status " + answer.status + ", framed by " + answer.framing + ", seal "
                        + (answer.head == null ? null : answer.head.get("X-Buckthornbay-Server-Seal")) + ", " + events + " of "
                        + EVENTS + " events; " + answer.end);
                    if (answer.looksComplete && events < EVENTS) {
                        Kit.note("MIXED: the answer to " + id + " ended early and looks complete");
                        wrong.incrementAndGet();
                    }
                }
            }));
        }
        Kit.sleep(500);
        leaving.drain();
        if (Kit.TROUBLE) {
            Kit.sleep(2_000);
            leaving.kill();
        }
        for (Thread client : clients) {
            client.join(14_000);
        }
        router.noteLog("event=response_end", "ended id=", "event=ended");
        return wrong.get() == 0;
    }
}
