import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/** Clients read a stream slowly for some seconds, on a router with little other traffic, whose settings have just changed. */
public final class CaseStall {
    private static final int CLIENTS = 6;
    private static final int EVENTS = 160;
    private static final int EVENT_BYTES = 30_000;
    private static final int WINDOW_BYTES = 4_096;
    private static final int SLOW_MILLIS = 6_000;
    private static final int SLOW_BYTES_PER_SECOND = 20_000;

    private CaseStall() {
    }

    public static void main(String[] args) throws Exception {
        Kit.main(args, CaseStall::run);
    }

    private static boolean run() throws Exception {
        Kit.Store store = new Kit.Store();
        store.put("config", "main", Kit.manifest(1, Kit.route("brief", "stream", "engines", 12_000, 2, true)));
        new Kit.WorkerProcess(store, "engine-1", "engines");
        new Kit.WorkerProcess(store, "engine-2", "engines");
        Kit.Ports ports = new Kit.Ports();
        Kit.RouterProcess router = new Kit.RouterProcess(store, ports, 1, 1).start();
        router.awaitReady();
        Kit.sleep(1_000);
        router.changeSettings();
        AtomicInteger lost = new AtomicInteger();
        List<Thread> clients = new ArrayList<>();
        for (int i = 1; i <= CLIENTS; i++) {
            String id = "stream-" + i;
            clients.add(Kit.background(id, () -> {
                try (Kit.Client client = new Kit.Client(router.front(), WINDOW_BYTES)) {
                    client.send("POST", "/brief/x?gap=5&events=2", "first-" + id, 12_000,
                        "X-Buckthornbay-Model: m\r\nX-Buckthornbay-Token-Count: 800,280\r\n", "prompt");
                    Kit.Answer first = client.read(0, 12_000);
                    client.send("POST", "/brief/x?gap=5&size=" + EVENT_BYTES + "&events=" + EVENTS, id, 12_000,
                        "X-Buckthornbay-Model: m\r\nX-Buckthornbay-Token-Count: 800,280\r\n", "prompt");
                    client.slow(Kit.TROUBLE ? SLOW_MILLIS : 0, SLOW_BYTES_PER_SECOND);
                    Kit.Answer answer = client.read(0, 12_000);
                    int events = Kit.eventIds(answer.text()).size();
                    Kit.note("client of " + id + ": first answer on the channel " + first.end + "; status " + answer.status
                        + ", framed by " + answer.framing + ", " + events + " of " + EVENTS + " events; " + answer.end);
                    if (events < EVENTS) {
                        lost.incrementAndGet();
                        Kit.note("LOST: the channel was closed without a complete answer to " + id);
                    }
                }
            }));
        }
        for (Thread client : clients) {
            client.join(20_000);
        }
        router.noteLog("event=attempt_failed", "event=ended");
        return lost.get() <= 3;
    }
}
