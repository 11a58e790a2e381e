import java.io.*;
import java.net.*;
import java.nio.charset.StandardCharsets;
import java.nio.file.*;
import java.util.*;
import java.util.concurrent.*;
import java.util.concurrent.atomic.*;

/** Stand-ins of the platform for the scripts of the review: store, workers, clients, and a launcher of the project's router. */
public final class Kit {
    private Kit() {}

    static final long START_NANOS = System.nanoTime();
    static final boolean TROUBLE = !"0".equals(System.getenv("TROUBLE"));
    private static PrintWriter record;

    static long nowMillis() {
        return (System.nanoTime() - START_NANOS) / 1_000_000;
    }

    /** Opens record.txt, in which each line begins with the time since the start in milliseconds. */
    static void openRecord(String path) throws IOException {
        record = new PrintWriter(new BufferedWriter(new FileWriter(path)));
        record("trouble " + (TROUBLE ? "on" : "off"));
    }

    static synchronized void record(String line) {
        if (record == null) return;
        record.println(nowMillis() + " " + line);
    }

    static void say(String line) {
        record(line);
        System.out.println(line);
    }

    static synchronized void closeRecord() {
        if (record != null) record.close();
        record = null;
    }

    static void sleep(long millis) {
        try {
            Thread.sleep(Math.max(0, millis));
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    static void daemon(String name, Runnable task) {
        Thread thread = new Thread(task, name);
        thread.setDaemon(true);
        thread.start();
    }

    /** A request head with its body. */
    static final class Request {
        String method;
        String target;
        final Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
        byte[] body = new byte[0];

        String attempt() {
            return headers.get("X-Buckthornbay-Attempt-Id");
        }
    }

    static String readLine(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        while (true) {
            int b = in.read();
            if (b < 0) {
                if (line.size() == 0) return null;
                throw new EOFException("the channel ended within a line");
            }
            if (b == '\n') break;
            if (b != '\r') line.write(b);
        }
        return line.toString(StandardCharsets.ISO_8859_1);
    }

    /** Reads one request; returns null when the channel was closed before it. */
    static Request readRequest(InputStream in) throws IOException {
        String first = readLine(in);
        if (first == null) return null;
        Request request = new Request();
        String[] words = first.split(" ");
        request.method = words[0];
        request.target = words[1];
        for (String line = readLine(in); line != null && !line.isEmpty(); line = readLine(in)) {
            int colon = line.indexOf(':');
            request.headers.put(line.substring(0, colon).trim(), line.substring(colon + 1).trim());
        }
        String length = request.headers.get("Content-Length");
        if (length != null) {
            request.body = in.readNBytes(Integer.parseInt(length));
            if (request.body.length < Integer.parseInt(length)) throw new EOFException("the body was cut");
        }
        return request;
    }

    static void write(OutputStream out, String text) throws IOException {
        out.write(text.getBytes(StandardCharsets.ISO_8859_1));
        out.flush();
    }

    /** Listens on a free loopback port and handles each channel on a thread of its own. */
    static ServerSocket listen(String name, ChannelHandler handler) throws IOException {
        ServerSocket server = new ServerSocket();
        server.setReuseAddress(true);
        server.bind(new InetSocketAddress("127.0.0.1", 0), 1024);
        daemon(name, () -> {
            while (!server.isClosed()) {
                try {
                    Socket socket = server.accept();
                    socket.setTcpNoDelay(true);
                    daemon(name + " channel", () -> {
                        try (socket) {
                            handler.handle(socket);
                        } catch (IOException | RuntimeException e) {
                            // The peer closed the channel or sent what is no request.
                        }
                    });
                } catch (IOException e) {
                    return;
                }
            }
        });
        return server;
    }

    interface ChannelHandler {
        void handle(Socket socket) throws IOException;
    }

    static String addressOf(ServerSocket server) {
        return "127.0.0.1:" + server.getLocalPort();
    }

    private static final Set<Integer> PORTS_TAKEN = ConcurrentHashMap.newKeySet();

    /** Returns a free port below those that the system gives to outgoing channels, each only once. */
    static int freePort() throws IOException {
        Random random = new Random();
        for (int i = 0; i < 1_000; i++) {
            int port = 12_000 + random.nextInt(18_000);
            if (!PORTS_TAKEN.add(port)) continue;
            try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getByName("127.0.0.1"))) {
                return port;
            } catch (IOException e) {
                // It is in use.
            }
        }
        throw new IOException("no free port");
    }

    /** The platform's metadata store: lists, watches and writes of objects, with one revision counter. */
    static final class Store {
        private record Stored(String spec, long revision) {}

        private record Event(long revision, String kind, String name, String spec, long atMillis) {}

        private final Map<String, TreeMap<String, Stored>> objects = new HashMap<>();
        private final List<Event> history = new ArrayList<>();
        private final Map<Socket, String> waiting = new ConcurrentHashMap<>();
        private final Set<String> rejected = ConcurrentHashMap.newKeySet();
        private long revision = 1;
        private volatile boolean busy;
        private final Set<Socket> open = ConcurrentHashMap.newKeySet();
        private final Set<Socket> silent = ConcurrentHashMap.newKeySet();
        private static final long HISTORY_MS = 20_000;
        final ServerSocket server;

        Store() throws IOException {
            server = listen("store", socket -> serve(socket, "all"));
        }

        /** Opens an address of the store for one machine, so that the store can tell the machines apart. */
        String addressFor(String machine) throws IOException {
            return addressOf(listen("store for " + machine, socket -> serve(socket, machine)));
        }

        /** Returns the machines that wait for changes at the moment. */
        Set<String> watchers() {
            return new TreeSet<>(waiting.values());
        }

        /** Answers all calls of these machines with 503 from now on, and cuts off their waiting watches. */
        void reject(Set<String> machines) {
            rejected.clear();
            rejected.addAll(machines);
            waiting.forEach((socket, machine) -> {
                if (machines.contains(machine)) close(socket);
            });
        }

        String address() {
            return addressOf(server);
        }

        /** Writes an object as the operator or a worker does; the return is the store's ack. */
        synchronized long put(String kind, String name, String spec) {
            revision++;
            objects.computeIfAbsent(kind, k -> new TreeMap<>()).put(name, new Stored(spec, revision));
            history.add(new Event(revision, kind, name, spec, nowMillis()));
            notifyAll();
            return revision;
        }

        /** Removes an object; the return is the store's ack. */
        synchronized long remove(String kind, String name) {
            revision++;
            objects.computeIfAbsent(kind, k -> new TreeMap<>()).remove(name);
            history.add(new Event(revision, kind, name, null, nowMillis()));
            notifyAll();
            return revision;
        }

        /** While busy the store answers every call with 503 and does nothing; waiting watches are cut off. */
        void setBusy(boolean value) {
            busy = value;
            if (value) waiting.keySet().forEach(Store::close);
        }

        /** Makes all open channels go silent for good; new ones work. Returns the silent ones. */
        Set<Socket> silenceOpenChannels() {
            Set<Socket> channels = Set.copyOf(open);
            silent.addAll(channels);
            return channels;
        }

        static void close(Socket socket) {
            try {
                socket.close();
            } catch (IOException e) {
                // It is closed already.
            }
        }

        private void serve(Socket socket, String machine) throws IOException {
            open.add(socket);
            try {
                serveOpen(socket, machine);
            } finally {
                open.remove(socket);
                silent.remove(socket);
            }
        }

        private void serveOpen(Socket socket, String machine) throws IOException {
            InputStream in = new BufferedInputStream(socket.getInputStream());
            OutputStream out = socket.getOutputStream();
            for (Request request = readRequest(in); request != null; request = readRequest(in)) {
                sleep(4);
                if (silent.contains(socket)) continueSilently(socket);
                if (busy || rejected.contains(machine)) {
                    reply(out, 503, "{}");
                    continue;
                }
                answer(socket, machine, out, request);
            }
        }

        private void answer(Socket socket, String machine, OutputStream out, Request request) throws IOException {
            String path = request.target.split("\\?")[0];
            String[] parts = path.substring("/v1/objects/".length()).split("/");
            Map<String, String> query = query(request.target);
            String kind = parts[0];
            if (request.method.equals("GET") && query.containsKey("Watch")) {
                waiting.put(socket, machine);
                try {
                    dropHistory(HISTORY_MS);
                    if (Long.parseLong(query.get("Watch")) < droppedUntil) {
                        reply(out, 410, "{}");
                        return;
                    }
                    String body = watch(kind, Long.parseLong(query.get("Watch")), Long.parseLong(query.get("WaitMs")));
                    if (silent.contains(socket)) continueSilently(socket);
                    reply(out, 200, body);
                } finally {
                    waiting.remove(socket);
                }
            } else if (request.method.equals("GET")) {
                reply(out, 200, list(kind));
            } else if (request.method.equals("DELETE")) {
                remove(kind, parts[1]);
                reply(out, 200, "{}");
            } else {
                reply(out, 503, "{}");
            }
        }

        /** Says nothing on the channel any more, until it is closed. */
        private static void continueSilently(Socket socket) throws IOException {
            while (!socket.isClosed()) {
                if (socket.getInputStream().read() < 0) throw new EOFException("the peer has closed the silent channel");
            }
            throw new EOFException("the silent channel is closed");
        }

        /** Drops the history that is older than this, as the store does after HistoryS. */
        private synchronized void dropHistory(long millis) {
            while (!history.isEmpty() && history.get(0).atMillis < nowMillis() - millis) droppedUntil = history.remove(0).revision;
        }

        private long droppedUntil;

        private synchronized String list(String kind) {
            StringJoiner entries = new StringJoiner(",");
            objects.computeIfAbsent(kind, k -> new TreeMap<>()).forEach((name, stored) ->
                entries.add(item(name, stored.spec, stored.revision)));
            return "{\"Entries\":[" + entries + "],\"HasMore\":false,\"StoreRevision\":" + revision + "}";
        }

        private synchronized String watch(String kind, long since, long waitMillis) {
            long end = nowMillis() + waitMillis;
            while (true) {
                StringJoiner events = new StringJoiner(",");
                for (Event event : history) {
                    if (event.revision > since && event.kind.equals(kind)) {
                        String spec = event.spec == null ? "null" : event.spec;
                        events.add("{\"Deleted\":" + (event.spec == null) + ",\"Object\":" + item(event.name, spec, event.revision) + "}");
                    }
                }
                long left = end - nowMillis();
                if (events.length() > 0 || left <= 0) return "{\"events\":[" + events + "],\"StoreRevision\":" + revision + "}";
                try {
                    wait(left);
                } catch (InterruptedException e) {
                    throw new IllegalStateException(e);
                }
            }
        }

        private static String item(String name, String spec, long revision) {
            return "{\"Meta\":{\"Name\":\"" + name + "\",\"Revision\":" + revision + "},\"Spec\":" + spec + "}";
        }

        private static void reply(OutputStream out, int status, String body) throws IOException {
            byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
            write(out, "HTTP/1.1 " + status + " X\r\nContent-Type: application/json\r\nContent-Length: " + bytes.length + "\r\n\r\n" + body);
        }

        private static Map<String, String> query(String target) {
            Map<String, String> result = new HashMap<>();
            int mark = target.indexOf('?');
            if (mark < 0) return result;
            for (String pair : target.substring(mark + 1).split("&")) {
                String[] sides = pair.split("=", 2);
                result.put(sides[0], sides.length > 1 ? sides[1] : "");
            }
            return result;
        }
    }

    /** What a worker does with a request that it runs. */
    interface Work {
        void run(Worker worker, Request request, Socket socket, OutputStream out) throws IOException;
    }

    /** A worker, which registers itself in the store under its id. */
    static final class Worker {
        final String id;
        final String service;
        final ServerSocket server;
        final Work work;
        final AtomicInteger runs = new AtomicInteger();
        private final long born = System.currentTimeMillis();
        private final AtomicInteger seq = new AtomicInteger();

        Worker(String id, String service, Work work) throws IOException {
            this.id = id;
            this.service = service;
            this.work = work;
            server = listen(id, this::serve);
        }

        String address() {
            return addressOf(server);
        }

        void register(Store store, String state) {
            store.put("servers", id, "{\"Backend\":\"" + service + "\",\"Address\":\"" + address() + "\",\"Zone\":\"zone-a\",\"Version\":\"v1\","
                + "\"Slots\":64,\"State\":\"" + state + "\",\"ColdLeftMs\":0,\"Seq\":" + seq.incrementAndGet() + ",\"born\":" + born + "}");
        }

        private void serve(Socket socket) throws IOException {
            InputStream in = new BufferedInputStream(socket.getInputStream());
            OutputStream out = socket.getOutputStream();
            for (Request request = readRequest(in); request != null; request = readRequest(in)) {
                if (!id.equals(request.headers.get("X-Buckthornbay-Expect-Instance"))) {
                    write(out, "HTTP/1.1 421 X\r\nX-Buckthornbay-Attempt-Id: " + request.attempt()
                        + "\r\nX-Buckthornbay-Not-Run: 1\r\nContent-Length: 0\r\n\r\n");
                    continue;
                }
                runs.incrementAndGet();
                work.run(this, request, socket, out);
            }
        }

        String seal(Request request) {
            return id + "." + request.attempt();
        }

        /** Answers with a complete body. */
        void answer(Request request, OutputStream out, int status, byte[] body) throws IOException {
            byte[] head = ("HTTP/1.1 " + status + " X\r\nContent-Type: text/plain\r\nX-Buckthornbay-Attempt-Id: " + request.attempt()
                + "\r\nX-Buckthornbay-Server-Seal: " + seal(request) + "\r\nContent-Length: " + body.length + "\r\n\r\n")
                .getBytes(StandardCharsets.ISO_8859_1);
            ByteArrayOutputStream all = new ByteArrayOutputStream();
            all.write(head);
            all.write(body);
            out.write(all.toByteArray());
            out.flush();
        }
    }

    /** A response as a client sees it. */
    static final class Response {
        int status;
        final Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
        final ByteArrayOutputStream body = new ByteArrayOutputStream();
        boolean complete;
    }

    /** A client with one channel to a router. */
    static final class Client implements Closeable {
        private final String address;
        private Socket socket;
        private InputStream in;

        Client(String address) {
            this.address = address;
        }

        boolean isOpen() {
            return socket != null;
        }

        /** Sends a request and waits for its answer for this time only. */
        Response callWithin(int waitMillis, String method, String path, String attempt, long deadlineMillis) throws IOException {
            if (socket == null) open();
            try {
                send(method, path, attempt, deadlineMillis, Map.of(), null);
                return read(waitMillis);
            } catch (IOException e) {
                close();
                throw e;
            }
        }

        /** Sends a request and reads its response; throws if the channel ends before a response head. */
        Response call(String method, String path, String attempt, long deadlineMillis, Map<String, String> more, byte[] body) throws IOException {
            if (socket == null) open();
            try {
                send(method, path, attempt, deadlineMillis, more, body);
                return read((int) deadlineMillis + 3_000);
            } catch (IOException e) {
                close();
                throw e;
            }
        }

        void open() throws IOException {
            socket = new Socket();
            socket.setTcpNoDelay(true);
            String[] sides = address.split(":");
            socket.connect(new InetSocketAddress(sides[0], Integer.parseInt(sides[1])), 1_000);
            in = new BufferedInputStream(socket.getInputStream());
        }

        void send(String method, String path, String attempt, long deadlineMillis, Map<String, String> more, byte[] body) throws IOException {
            StringBuilder head = new StringBuilder(method + " " + path + " HTTP/1.1\r\nHost: a.example\r\nAuthorization: Bearer key-1\r\n"
                + "X-Buckthornbay-Attempt-Id: " + attempt + "\r\nX-Buckthornbay-Deadline-Ms: " + deadlineMillis + "\r\n");
            more.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
            if (body != null) head.append("Content-Length: ").append(body.length).append("\r\n");
            head.append("\r\n");
            ByteArrayOutputStream all = new ByteArrayOutputStream();
            all.write(head.toString().getBytes(StandardCharsets.ISO_8859_1));
            if (body != null) all.write(body);
            socket.getOutputStream().write(all.toByteArray());
            socket.getOutputStream().flush();
        }

        Response read(int timeoutMillis) throws IOException {
            socket.setSoTimeout(timeoutMillis);
            Response response = new Response();
            String first = readLine(in);
            if (first == null) throw new EOFException("the channel was closed without an answer");
            response.status = Integer.parseInt(first.split(" ")[1]);
            for (String line = readLine(in); line != null && !line.isEmpty(); line = readLine(in)) {
                int colon = line.indexOf(':');
                response.headers.put(line.substring(0, colon).trim(), line.substring(colon + 1).trim());
            }
            try {
                readBody(response);
                response.complete = true;
            } catch (IOException e) {
                close();
                return response;
            }
            if ("close".equalsIgnoreCase(response.headers.get("Connection"))) close();
            return response;
        }

        private void readBody(Response response) throws IOException {
            if ("chunked".equalsIgnoreCase(response.headers.get("Transfer-Encoding"))) {
                while (true) {
                    String line = readLine(in);
                    if (line == null) throw new EOFException("the body was cut");
                    int size = Integer.parseInt(line.trim(), 16);
                    byte[] piece = in.readNBytes(size);
                    response.body.write(piece);
                    if (piece.length < size) throw new EOFException("the body was cut");
                    if (readLine(in) == null) throw new EOFException("the body was cut");
                    if (size == 0) return;
                }
            }
            int length = Integer.parseInt(response.headers.getOrDefault("Content-Length", "0"));
            byte[] all = in.readNBytes(length);
            response.body.write(all);
            if (all.length < length) throw new EOFException("the body was cut");
        }

        @Override
        public void close() {
            try {
                if (socket != null) socket.close();
            } catch (IOException e) {
                // It is closed already.
            }
            socket = null;
        }
    }

    private static final List<Router> ROUTERS = new CopyOnWriteArrayList<>();

    static {
        Runtime.getRuntime().addShutdownHook(new Thread(() -> {
            ROUTERS.forEach(Router::kill);
            ROUTERS.forEach(Router::deleteFiles);
        }));
    }

    /** A process of the project's router, started with the command of the deploy file. */
    static final class Router {
        final String name;
        final String front;
        final String readiness;
        final String control;
        private final Path settings;
        private final Path log;
        private Process process;

        Router(Path folder, String name, String storeAddress, List<String> seeds, String control) throws IOException {
            this.name = name;
            this.control = control;
            front = "127.0.0.1:" + freePort();
            readiness = "127.0.0.1:" + freePort();
            String directory = "127.0.0.1:" + freePort();
            settings = folder.resolve(name + ".toml");
            log = folder.resolve(name + ".log");
            StringJoiner seedList = new StringJoiner(",");
            seeds.forEach(seed -> seedList.add("\"" + seed + "\""));
            Files.writeString(settings, "host = \"" + name + "\"\nregion = \"region-a\"\nzone = \"zone-a\"\nseeds = [" + seedList + "]\n\n[listen]\n"
                + "callers = \"" + front + "\"\nreadiness = \"" + readiness + "\"\ncontrol = \"" + control + "\"\naddresses = \"" + directory + "\"\n"
                + "metrics = \"127.0.0.1:" + freePort() + "\"\n\n[store]\naddress = \"" + storeAddress + "\"\n\n[bounds]\ngraceSeconds = 8\n"
                + "retryRatio = 0.2\nretryWindowSeconds = 10\nretrySlack = 58\nshareWindowSeconds = 4\n\n[[zones]]\nname = \"zone-a\"\nregion = \"region-a\"\n");
        }

        void start() throws IOException {
            start(List.of());
        }

        /** Starts the process by [launcher], which may set its limits and then runs the words that follow it. */
        void start(List<String> launcher) throws IOException {
            List<String> command = new ArrayList<>(launcher);
            command.addAll(List.of("java", "-XX:SharedArchiveFile=target/router/router.jsa", "-Xshare:auto", "-Xmx128m", "-Xss256k",
                "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1", "-jar", "target/router/router-0.1.0-all.jar", "--platform", "--config",
                settings.toString()));
            process = new ProcessBuilder(command)
                .directory(Path.of(System.getProperty("root", ".")).toFile())
                .redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile())).start();
            if (!ROUTERS.contains(this)) ROUTERS.add(this);
            record("start " + name);
        }

        boolean awaitReady(long millis) {
            long end = nowMillis() + millis;
            while (nowMillis() < end) {
                if (isReady()) return true;
                sleep(50);
            }
            return false;
        }

        boolean isReady() {
            try (Client client = new Client(readiness)) {
                return client.call("GET", "/v1/readyz", "ready", 500, Map.of(), null).status == 200;
            } catch (IOException e) {
                return false;
            }
        }

        boolean isAlive() {
            return process.isAlive();
        }

        /** Sends a signal to the process. */
        void signal(String signal) throws IOException {
            record("signal " + signal + " to " + name);
            try {
                new ProcessBuilder("kill", "-" + signal, String.valueOf(process.pid())).start().waitFor();
            } catch (InterruptedException e) {
                throw new IllegalStateException(e);
            }
        }

        long pid() {
            return process.pid();
        }

        void kill() {
            if (process != null) process.destroyForcibly();
        }

        /** Waits for the end of the process and deletes its files, and their folder when it is empty. */
        void deleteFiles() {
            try {
                process.waitFor(5, TimeUnit.SECONDS);
                Files.deleteIfExists(settings);
                Files.deleteIfExists(log);
                Files.deleteIfExists(settings.getParent());
            } catch (IOException | InterruptedException e) {
                // The folder still has the files of another process.
            }
        }
    }
}
