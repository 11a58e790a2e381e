import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/** A worker answers a long upload before it is in, and breaks its answer off with a reset. */
public final class CaseEarly {
    private static final int CLIENTS = 4;
    private static final int REQUESTS = 340;
    /** One request in so many is answered early, if it reaches the worker that is in trouble. */
    private static final int EARLY_EACH = 21;
    private static final int UPLOAD_BYTES = 200_000;
    private static final int ANSWER_BYTES = 800;

    private static final int WARM_UP = 20;
    private static volatile String lastWorker = "";

    private CaseEarly() {
    }

    public static void main(String[] args) throws Exception {
        int uploadBytes = args.length > 1 ? Integer.parseInt(args[1]) : UPLOAD_BYTES;
        Kit.main(args, () -> run(uploadBytes));
    }

    private static boolean run(int uploadBytes) throws Exception {
        Kit.Store store = new Kit.Store();
        store.put("config", "main", Kit.manifest(1, Kit.route("post", "unsafe", "plain", 5_000, 1, false)));
        new Kit.WorkerProcess(store, "plain-1", "plain");
        new Kit.WorkerProcess(store, "plain-2", "plain");
        Kit.Ports ports = new Kit.Ports();
        Kit.RouterProcess router = new Kit.RouterProcess(store, ports, 1, 1).start();
        router.awaitReady();
        Kit.sleep(1_000);
        AtomicInteger wrong = new AtomicInteger();
        // The worker in trouble is one that the router uses.
        for (int i = 1; i <= WARM_UP; i++) {
            post(router, -i, uploadBytes, wrong);
        }
        Kit.note("the worker in trouble is " + lastWorker);
        List<Thread> clients = new ArrayList<>();
        for (int first = 1; first <= CLIENTS; first++) {
            int begin = first;
            clients.add(Kit.background("client " + first, () -> {
                for (int i = begin; i <= REQUESTS; i += CLIENTS) {
                    post(router, i, uploadBytes, wrong);
                }
            }));
        }
        for (Thread client : clients) {
            client.join(60_000);
        }
        Kit.note(REQUESTS + " requests, " + wrong + " with a part of their answer that looks complete");
        router.noteLog("event=attempt_failed");
        return wrong.get() == 0;
    }

    private static void post(Kit.RouterProcess router, int i, int uploadBytes, AtomicInteger wrong) throws Exception {
        String id = "post-" + i;
        boolean isEarly = Kit.TROUBLE && i > 0 && i % EARLY_EACH == 0;
        try (Kit.Client client = new Kit.Client(router.front(), 0)) {
            client.send("POST", "/post/x?framing=none&bytes=" + ANSWER_BYTES + (isEarly ? "&early=" + lastWorker : ""), id, 5_000, "",
                "u".repeat(uploadBytes));
            Kit.Answer answer = client.read(0, 6_000);
            int read = answer.body.size();
            if (i < 0) {
                lastWorker = answer.head.get("X-Buckthornbay-Server-Seal").substring("seal-".length(), "seal-plain-1".length());
            }
            if (!isEarly && read == ANSWER_BYTES && answer.status.equals("200")) {
                return;
            }
            Kit.note("client of " + id + ": status " + answer.status + ", framed by " + answer.framing + ", seal "
                + (answer.head == null ? null : answer.head.get("X-Buckthornbay-Server-Seal")) + ", " + read + " bytes; " + answer.end);
            if (answer.status.equals("200") && answer.looksComplete && read < ANSWER_BYTES) {
                wrong.incrementAndGet();
                Kit.note("MIXED: the answer to " + id + " was broken off and looks complete");
            }
        }
    }
}
