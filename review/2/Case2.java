import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.*;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * The store turns four of thirteen machines away, which are those that watch it, and serves the other nine and the operator.
 *
 * The rule: a request sent later than ConfigMs after the ack of a version must not be run with a route that this version dropped,
 * by machines in touch. The nine machines are in touch.
 */
public class Case2 {
    static final int MACHINES = 13;
    static final int CONFIG_MS = 4_000;
    static final int REJECTED_MS = 9_000;
    static final double REJECTED_SHARE = 0.33;
    static final Set<String> RUN = ConcurrentHashMap.newKeySet();

    static String manifest(int version, String... names) {
        StringJoiner routes = new StringJoiner(",");
        for (String name : names) {
            routes.add("{\"Name\":\"" + name + "\",\"Hostname\":\"a.example\",\"PathPrefix\":\"/" + name + "/\",\"Type\":\"safe\",\"TimeoutMs\":2500,"
                + "\"GoalMs\":300,\"Priority\":2,\"Backend\":\"accounts-app\",\"Attempts\":2,\"Public\":false}");
        }
        return "{\"Version\":" + version + ",\"Routes\":[" + routes + "],"
            + "\"Services\":[{\"Name\":\"accounts-app\",\"HealthPath\":\"/healthz\",\"MaxConns\":460,\"Protocol\":\"h1\",\"Tls\":false}],"
            + "\"Limits\":{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":4194304,\"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":15000},"
            + "\"Tenants\":[{\"Name\":\"tenant-1\",\"ApiKeys\":[\"key-1\"],\"Priority\":1}]}";
    }

    public static void main(String[] arguments) throws Exception {
        Kit.openRecord(arguments[0]);
        Kit.daemon("watchdog", () -> {
            Kit.sleep(117_000);
            finish(2, "the case took too long");
        });
        Path folder = Files.createTempDirectory("review");
        Kit.Store store = new Kit.Store();
        store.put("config", "main", manifest(1, "first", "second"));
        for (int i = 0; i < 3; i++) {
            Kit.Work work = (worker, request, socket, out) -> {
                RUN.add(request.attempt());
                worker.answer(request, out, 200, new byte[800]);
            };
            new Kit.Worker("i-" + i, "accounts-app", work).register(store, "ready");
        }
        List<String> control = new ArrayList<>();
        for (int i = 0; i < MACHINES; i++) control.add("127.0.0.1:" + Kit.freePort());
        List<Kit.Router> routers = new ArrayList<>();
        for (int i = 0; i < MACHINES; i++) {
            String name = "edge-" + (i + 1);
            routers.add(new Kit.Router(folder, name, store.addressFor(name), control.subList(0, 3), control.get(i)));
        }
        for (Kit.Router router : routers) router.start();
        for (Kit.Router router : routers) {
            if (!router.awaitReady(40_000)) finish(2, router.name + " did not become ready");
        }
        Set<String> watchers = settledWatchers(store);
        Kit.say("the machines that watch the store: " + watchers);
        if (watchers.isEmpty() || watchers.size() > MACHINES * REJECTED_SHARE) finish(2, "the watchers are more than the share of the disruption");

        if (Kit.TROUBLE) {
            store.reject(watchers);
            Kit.say("the store turns " + watchers + " away");
            Kit.daemon("end of the disruption", () -> {
                Kit.sleep(REJECTED_MS);
                store.reject(Set.of());
                Kit.record("the store serves all machines");
            });
        }
        Kit.sleep(100);
        store.put("config", "main", manifest(2, "first", "third"));
        long ackMillis = Kit.nowMillis();
        Kit.say("ack of version 2, which drops the route second and adds the route third");
        AtomicInteger asked = new AtomicInteger();
        AtomicInteger broken = new AtomicInteger();
        AtomicInteger unknown = new AtomicInteger();
        List<Thread> clients = new ArrayList<>();
        for (Kit.Router router : routers) {
            if (watchers.contains(router.name)) continue;
            Thread client = new Thread(() -> ask(router, ackMillis, asked, broken, unknown));
            client.start();
            clients.add(client);
        }
        for (Thread client : clients) client.join();
        Kit.say("requests sent later than " + CONFIG_MS + " ms after the ack to the " + clients.size() + " machines in touch, on each route: "
            + asked + "; run with the dropped route: " + broken + "; answered 404 on the added route: " + unknown);
        boolean isBroken = broken.get() + unknown.get() > 0;
        finish(isBroken ? 1 : 0, isBroken ? "CONFIG is broken" : "CONFIG held");
    }

    /** Waits until the same few machines watch the store, and returns them. */
    static Set<String> settledWatchers(Kit.Store store) {
        Set<String> seen = new TreeSet<>();
        for (int i = 0; i < 40; i++) {
            seen.clear();
            long end = Kit.nowMillis() + 1_500;
            while (Kit.nowMillis() < end) {
                seen.addAll(store.watchers());
                Kit.sleep(20);
            }
            if (i >= 4 && seen.size() < MACHINES / 2) return seen;
        }
        return seen;
    }

    static void ask(Kit.Router router, long ackMillis, AtomicInteger asked, AtomicInteger broken, AtomicInteger unknown) {
        Kit.Client client = new Kit.Client(router.front);
        while (Kit.nowMillis() < ackMillis + CONFIG_MS + 4_000) {
            long sentMillis = Kit.nowMillis();
            boolean late = sentMillis > ackMillis + CONFIG_MS;
            String attempt = router.name + "-second-" + sentMillis;
            String second = call(client, "/second/x", attempt);
            boolean run = RUN.contains(attempt);
            String third = call(client, "/third/x", router.name + "-third-" + sentMillis);
            Kit.record(router.name + " " + (sentMillis - ackMillis) + " ms after the ack: second " + second + (run ? " run" : "") + ", third " + third);
            if (late) {
                asked.incrementAndGet();
                if (run) broken.incrementAndGet();
                if (third.equals("404")) unknown.incrementAndGet();
            }
            Kit.sleep(100);
        }
    }

    static String call(Kit.Client client, String path, String attempt) {
        try {
            return String.valueOf(client.call("GET", path, attempt, 2_500, Map.of(), null).status);
        } catch (IOException e) {
            return e.getClass().getSimpleName();
        }
    }

    static void finish(int code, String line) {
        Kit.say(line);
        Kit.closeRecord();
        System.exit(code);
    }
}
