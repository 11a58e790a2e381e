import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;

/** A part of some prompts crashes each worker that begins to answer them; these prompts have many parts. */
public final class CasePoison {
    private static final int WORKERS = 6;
    private static final int BACK_MILLIS = 2_500;
    private static final int CONTACT_MILLIS = 3_000;
    private static final int CALM_MILLIS = 6_000;
    private static final int PLAYED_MILLIS = 28_000;
    private static final int SHARED_PARTS = 32;
    private static final String CRASHING_PART = "badbad01";

    private static final List<Long> CRASHES = new CopyOnWriteArrayList<>();
    /** Numbers of the sound requests that a worker has begun. */
    private static final Set<Integer> BEGUN = ConcurrentHashMap.newKeySet();
    private static Kit.Store store;

    private CasePoison() {
    }

    public static void main(String[] args) throws Exception {
        int shared = args.length > 1 ? Integer.parseInt(args[1]) : SHARED_PARTS;
        Kit.main(args, () -> run(shared));
    }

    private static boolean run(int shared) throws Exception {
        store = new Kit.Store();
        store.put("config", "main", Kit.manifest(1, Kit.route("brief", "stream", "engines", 12_000, 2, true)));
        for (int i = 1; i <= WORKERS; i++) {
            startWorker("127.0.0.1:" + Kit.freePorts(1)[0], i, 1);
        }
        Kit.Ports ports = new Kit.Ports();
        Kit.RouterProcess[] routers = {
            new Kit.RouterProcess(store, ports, 1, 2).start(), new Kit.RouterProcess(store, ports, 2, 2).start(),
        };
        routers[0].awaitReady();
        routers[1].awaitReady();
        Kit.sleep(1_500);
        long beginMillis = Kit.millis() + CALM_MILLIS;
        long endMillis = beginMillis + PLAYED_MILLIS;
        Map<Integer, Long> soundSentMillis = new TreeMap<>();
        Map<String, Integer> answers = new TreeMap<>();
        for (int number = 1; Kit.millis() < endMillis; number++) {
            int request = number;
            boolean bad = Kit.TROUBLE && Kit.millis() >= beginMillis && number % 4 == 0;
            if (!bad) {
                soundSentMillis.put(number, Kit.millis());
            }
            Kit.RouterProcess router = routers[number / 4 % 2];
            Kit.background("client", () -> {
                try (Kit.Client client = new Kit.Client(router.front(), 0)) {
                    client.send("POST", "/brief/x?gap=60&events=10", (bad ? "bad-" : "sound-") + request, 12_000,
                        "X-Buckthornbay-Model: m\r\nX-Buckthornbay-Token-Count: 800,280\r\nX-Buckthornbay-Prefix-Hash: "
                            + parts(shared, bad, request) + "\r\n", "prompt");
                    Kit.Answer answer = client.read(0, 12_000);
                    String kind = (bad ? "bad " : "sound ") + answer.status + (answer.looksComplete ? "" : " cut off");
                    synchronized (answers) {
                        answers.merge(kind, 1, Integer::sum);
                    }
                    if (!bad && request % 20 == 1) {
                        Kit.note("client of sound-" + request + ": " + answer.status + " " + answer.end
                            + (answer.status.equals("200") ? "" : " " + answer.text()));
                    }
                }
            });
            Kit.sleep(100);
        }
        Kit.sleep(1_500);
        for (Kit.RouterProcess router : routers) {
            router.noteLog("part_quarantined", "part_released");
        }
        Kit.note("answers: " + answers + "; crashes of workers: " + CRASHES.size());
        long judgedFromMillis = CRASHES.size() < 5 ? endMillis - 10_000 : CRASHES.get(4) + 2 * CONTACT_MILLIS;
        int before = shareBegun(soundSentMillis, 0, beginMillis, "before the first request with the crashing part");
        int after = shareBegun(soundSentMillis, judgedFromMillis, endMillis, "from " + judgedFromMillis + " ms on");
        return after * 2 >= before;
    }

    /** Returns how many of 1,000 sound requests that were sent in a span have begun at a worker. */
    private static int shareBegun(Map<Integer, Long> sentMillis, long fromMillis, long toMillis, String span) {
        int all = 0;
        int begun = 0;
        for (Map.Entry<Integer, Long> sent : sentMillis.entrySet()) {
            if (sent.getValue() >= fromMillis && sent.getValue() < toMillis) {
                all++;
                begun += BEGUN.contains(sent.getKey()) ? 1 : 0;
            }
        }
        Kit.note(span + ": " + begun + " of " + all + " sound requests have begun at a worker");
        if (all < 20) {
            throw new IllegalStateException("too few requests to judge");
        }
        return begun * 1_000 / all;
    }

    /** All requests share their first parts; the crashing part comes behind these, and the last part is the request's own. */
    private static String parts(int shared, boolean bad, int request) {
        StringBuilder parts = new StringBuilder();
        for (int i = 0; i < shared; i++) {
            parts.append(String.format("%08x:20,", 0x5c1e0000 + i));
        }
        return parts + (bad ? CRASHING_PART + ":20," : "") + String.format("%08x:40", 0x70000000 + request);
    }

    private static void startWorker(String address, int number, int lifetime) throws Exception {
        String id = "engine-" + number + "-" + lifetime;
        Kit.WorkerProcess worker = new Kit.WorkerProcess(store, id, "engines", address, CRASHING_PART, line -> {
            if (line.startsWith("runs sound-")) {
                BEGUN.add(Integer.parseInt(line.split(" ")[1].substring("sound-".length())));
            }
        });
        Kit.background("watch of " + id, () -> {
            worker.process.waitFor();
            CRASHES.add(Kit.millis());
            Kit.background("entry of " + id, worker::fallSilent);
            Kit.sleep(BACK_MILLIS);
            startWorker(address, number, lifetime + 1);
        });
    }
}
