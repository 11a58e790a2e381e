import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.File;
import java.io.IOException;
import java.io.InputStream;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Stand-ins and helpers of the cases of the review: the store, routers as processes, workers as processes and clients. */
final class Kit {
    private Kit() {
    }

    static final String HOST = "callers.example";
    static final String KEY = "key-of-growers";
    static final String TENANT = "growers";
    static final int HELD = 0;
    static final int BROKEN = 1;
    static final int COULD_NOT_RUN = 2;

    /** Whether the disruption of the case takes place. */
    static final boolean TROUBLE = !"0".equals(System.getenv("TROUBLE"));

    private static final long START_NANOS = System.nanoTime();
    private static PrintWriter record;

    static long millis() {
        return (System.nanoTime() - START_NANOS) / 1_000_000;
    }

    static void openRecord(Path file) throws IOException {
        record = new PrintWriter(Files.newBufferedWriter(file), true);
        note("disruption " + (TROUBLE ? "on" : "off"));
    }

    /** Writes a line to record.txt with the time since the start of the case. */
    static synchronized void note(String line) {
        record.printf("%6d ms  %s%n", millis(), line);
    }

    static void sleep(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    interface Task {
        void run() throws Exception;
    }

    static Thread background(String name, Task task) {
        Thread thread = new Thread(() -> {
            try {
                task.run();
            } catch (Exception e) {
                note(name + " ended: " + e);
            }
        }, name);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    /** Returns ports that are free on all the loopback addresses that the cases use. */
    static int[] freePorts(int count) throws IOException {
        List<ServerSocket> held = new ArrayList<>();
        int[] ports = new int[count];
        for (int i = 0; i < count; i++) {
            ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"));
            held.add(socket);
            ports[i] = socket.getLocalPort();
        }
        for (ServerSocket socket : held) {
            socket.close();
        }
        return ports;
    }

    // ---- HTTP by hand -------------------------------------------------------------------------------------------------

    /** The head of a request or a response. */
    static final class Head {
        final String first;
        final Map<String, String> fields = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);

        Head(String text) {
            String[] lines = text.split("\r\n");
            first = lines[0];
            for (int i = 1; i < lines.length; i++) {
                int colon = lines[i].indexOf(':');
                if (colon > 0) {
                    fields.put(lines[i].substring(0, colon).trim(), lines[i].substring(colon + 1).trim());
                }
            }
        }

        String get(String name) {
            return fields.get(name);
        }
    }

    /** Reads a head; returns null at the end of the connection. */
    static Head readHead(InputStream in) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        int matched = 0;
        while (matched < 4) {
            int next = in.read();
            if (next < 0) {
                return null;
            }
            bytes.write(next);
            matched = next == "\r\n\r\n".charAt(matched) ? matched + 1 : (next == '\r' ? 1 : 0);
        }
        return new Head(bytes.toString(StandardCharsets.ISO_8859_1));
    }

    static byte[] readBody(InputStream in, Head head) throws IOException {
        String length = head.get("Content-Length");
        return length == null ? new byte[0] : in.readNBytes(Integer.parseInt(length));
    }

    static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }

    // ---- the platform's store -----------------------------------------------------------------------------------------

    /** The platform's store: objects by kind and name, lists and watches. */
    static final class Store {
        private record Item(String spec, long revision) {
        }

        private record Event(long revision, String kind, String name, String spec) {
        }

        private final Map<String, TreeMap<String, Item>> objects = new LinkedHashMap<>();
        private final List<Event> history = new ArrayList<>();
        private long revision = 10;
        private final ServerSocket server = new ServerSocket(0, 200, InetAddress.getByName("127.0.0.1"));
        final String address = "127.0.0.1:" + server.getLocalPort();

        Store() throws IOException {
            background("store", () -> {
                while (true) {
                    Socket socket = server.accept();
                    socket.setTcpNoDelay(true);
                    background("store connection", () -> serve(socket));
                }
            });
        }

        synchronized void put(String kind, String name, String spec) {
            revision++;
            objects.computeIfAbsent(kind, k -> new TreeMap<>()).put(name, new Item(spec, revision));
            history.add(new Event(revision, kind, name, spec));
            notifyAll();
        }

        synchronized void remove(String kind, String name) {
            revision++;
            objects.computeIfAbsent(kind, k -> new TreeMap<>()).remove(name);
            history.add(new Event(revision, kind, name, null));
            notifyAll();
        }

        private void serve(Socket socket) throws Exception {
            try (socket) {
                InputStream in = new BufferedInputStream(socket.getInputStream());
                while (true) {
                    Head head = readHead(in);
                    if (head == null) {
                        return;
                    }
                    byte[] body = readBody(in, head);
                    String[] line = head.first.split(" ");
                    String answer = answer(line[0], line[1], new String(body, StandardCharsets.UTF_8));
                    socket.getOutputStream().write(bytes(answer));
                }
            }
        }

        private static String response(String status, String body) {
            return "HTTP/1.1 " + status + "\r\nContent-Type: application/json\r\nStore-Era: 1\r\nContent-Length: "
                + body.length() + "\r\n\r\n" + body;
        }

        private synchronized String answer(String method, String target, String body) throws InterruptedException {
            String[] parts = target.split("\\?", 2);
            String[] path = parts[0].split("/");
            String kind = path.length > 3 ? path[3] : "";
            String query = parts.length > 1 ? parts[1] : "";
            if (method.equals("GET") && path.length == 4) {
                Matcher watch = Pattern.compile("Watch=(\\d+)").matcher(query);
                return watch.find() ? watch(kind, Long.parseLong(watch.group(1)), query) : list(kind);
            }
            if (method.equals("POST")) {
                Matcher name = Pattern.compile("\"Name\":\"([^\"]*)\"").matcher(body);
                if (!name.find()) {
                    return response("400 Bad Request", "{}");
                }
                if (objects.getOrDefault(kind, new TreeMap<>()).containsKey(name.group(1))) {
                    return response("409 Conflict", "{}");
                }
                put(kind, name.group(1), "{}");
                return response("200 OK", "{}");
            }
            return response("404 Not Found", "{}");
        }

        private String list(String kind) {
            List<String> entries = new ArrayList<>();
            objects.getOrDefault(kind, new TreeMap<>()).forEach((name, item) -> entries.add(object(name, item.revision, item.spec)));
            return response("200 OK", "{\"Entries\":[" + String.join(",", entries) + "],\"HasMore\":false,\"StoreRevision\":"
                + revision + "}");
        }

        private String watch(String kind, long since, String query) throws InterruptedException {
            Matcher wait = Pattern.compile("WaitMs=(\\d+)").matcher(query);
            long untilMillis = millis() + (wait.find() ? Long.parseLong(wait.group(1)) : 0);
            while (true) {
                List<String> events = new ArrayList<>();
                for (Event event : history) {
                    if (event.kind.equals(kind) && event.revision > since) {
                        events.add("{\"Deleted\":" + (event.spec == null) + ",\"Object\":"
                            + object(event.name, event.revision, event.spec == null ? "null" : event.spec) + "}");
                    }
                }
                long leftMillis = untilMillis - millis();
                if (!events.isEmpty() || leftMillis <= 0) {
                    return response("200 OK", "{\"events\":[" + String.join(",", events) + "],\"StoreRevision\":" + revision + "}");
                }
                wait(leftMillis);
            }
        }

        private static String object(String name, long revision, String spec) {
            return "{\"Meta\":{\"Name\":\"" + name + "\",\"Revision\":" + revision + "},\"Spec\":" + spec + "}";
        }
    }

    /** A route of the manifest; the time limit and the attempts are those of the sheets. */
    static String route(String name, String type, String service, int timeoutMillis, int attempts, boolean resumable) {
        String stream = type.equals("stream") ? ",\"Affinity\":true,\"Resumable\":" + resumable + ",\"GapAimMs\":300" : "";
        return "{\"Name\":\"" + name + "\",\"Hostname\":\"" + HOST + "\",\"PathPrefix\":\"/" + name + "/\",\"Type\":\"" + type
            + "\",\"TimeoutMs\":" + timeoutMillis + ",\"GoalMs\":800,\"Priority\":1,\"Backend\":\"" + service + "\",\"Attempts\":"
            + attempts + ",\"Public\":false" + stream + "}";
    }

    /** A manifest with the services `engines` and `plain`, and the limits that the pages show. */
    static String manifest(int version, String... routes) {
        return "{\"Version\":" + version + ",\"Routes\":[" + String.join(",", routes) + "],\"Services\":["
            + "{\"Name\":\"engines\",\"HealthPath\":\"/healthz\",\"MaxConns\":370,\"Protocol\":\"h1\",\"Tls\":false,"
            + "\"Engine\":{\"Slots\":64,\"KvCapacity\":637032}},"
            + "{\"Name\":\"plain\",\"HealthPath\":\"/healthz\",\"MaxConns\":110,\"Protocol\":\"h1\",\"Tls\":false}],"
            + "\"Limits\":{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":4194304,\"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":15000,"
            + "\"TokensPerS\":280000},\"Tenants\":[{\"Name\":\"" + TENANT + "\",\"ApiKeys\":[\"" + KEY + "\"],\"Priority\":1}]}";
    }

    // ---- processes ----------------------------------------------------------------------------------------------------

    private static final List<Process> STARTED = new ArrayList<>();
    private static final List<Path> FOLDERS = new ArrayList<>();

    /** Ends all processes that this case started. */
    static void endAll() {
        synchronized (STARTED) {
            STARTED.forEach(Process::destroyForcibly);
        }
        synchronized (FOLDERS) {
            for (Path folder : FOLDERS) {
                for (File file : folder.toFile().listFiles()) {
                    file.delete();
                }
                folder.toFile().delete();
            }
            FOLDERS.clear();
        }
    }

    private static Process start(ProcessBuilder builder) throws IOException {
        Map<String, String> environment = builder.environment();
        environment.keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
        Process process = builder.redirectErrorStream(true).start();
        synchronized (STARTED) {
            STARTED.add(process);
        }
        return process;
    }

    /** A worker as a process, registered in the store with a heartbeat. */
    static final class WorkerProcess {
        final String id;
        final String service;
        final Process process;
        final String address;
        private final Store store;
        private final long bornMillis = System.currentTimeMillis();
        private int sequence = 0;
        private volatile String state = "ready";
        private volatile boolean beats = true;

        WorkerProcess(Store store, String id, String service) throws Exception {
            this(store, id, service, "127.0.0.1:" + freePorts(1)[0], "", line -> { });
        }

        /** Starts a worker that crashes under crashingPart, if that isn't empty; each line that it writes is passed to lines. */
        WorkerProcess(Store store, String id, String service, String address, String crashingPart, Consumer<String> lines)
            throws Exception {
            this.store = store;
            this.id = id;
            this.service = service;
            this.address = address;
            ProcessBuilder builder = new ProcessBuilder(
                "java", "-Xmx64m", "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1", "-cp", System.getProperty("java.class.path"),
                "Worker", address.substring(address.indexOf(':') + 1), id, crashingPart);
            process = Kit.start(builder);
            background("worker " + id, () -> {
                try (var output = process.inputReader()) {
                    for (String line = output.readLine(); line != null; line = output.readLine()) {
                        note("worker " + id + ": " + line);
                        lines.accept(line);
                    }
                }
            });
            awaitListening(address);
            beat();
            background("heartbeat of " + id, () -> {
                while (beats) {
                    sleep(1_200);
                    if (beats) {
                        beat();
                    }
                }
            });
        }

        private synchronized void beat() {
            store.put("servers", id, "{\"Backend\":\"" + service + "\",\"Address\":\"" + address + "\",\"Zone\":\"zone-a\","
                + "\"Version\":\"v1\",\"Slots\":64,\"State\":\"" + state + "\",\"ColdLeftMs\":0,\"Seq\":" + (++sequence)
                + ",\"born\":" + bornMillis + "}");
        }

        /** The worker reports that it leaves. */
        void drain() {
            state = "draining";
            beat();
            note("worker " + id + " has reported draining, and the store has acknowledged it");
        }

        /** Ends the heartbeat of a worker that has crashed; its entry goes after three check-in intervals of silence. */
        void fallSilent() {
            beats = false;
            sleep(3_600);
            store.remove("servers", id);
        }

        void kill() {
            beats = false;
            process.destroyForcibly();
            note("worker " + id + " is gone (SIGKILL)");
        }
    }

    static void awaitListening(String address) throws Exception {
        int port = Integer.parseInt(address.substring(address.indexOf(':') + 1));
        for (int i = 0; i < 200; i++) {
            try (Socket socket = new Socket()) {
                socket.connect(new InetSocketAddress(address.substring(0, address.indexOf(':')), port), 200);
                return;
            } catch (IOException e) {
                sleep(50);
            }
        }
        throw new IllegalStateException("nothing listens at " + address);
    }

    /** Ports that all routers of a case share, each on a loopback address of its own. */
    static final class Ports {
        final int[] ports;

        Ports() throws IOException {
            ports = freePorts(5);
        }
    }

    /** A router as a process, with the command and the settings template of the deploy file. */
    static final class RouterProcess {
        final String name;
        final String ip;
        final Ports ports;
        final Path folder;
        final Path settings;
        final List<String> command = new ArrayList<>();
        Process process;

        RouterProcess(Store store, Ports ports, int number, int count) throws Exception {
            this.name = "edge-zone-a-" + number;
            this.ip = "127.0.0." + (number + 1);
            this.ports = ports;
            folder = Files.createTempDirectory("review-router");
            synchronized (FOLDERS) {
                FOLDERS.add(folder);
            }
            settings = folder.resolve("node.toml");
            Files.writeString(settings, render(store, count));
            Matcher run = Pattern.compile("(?m)^run = \"(.*)\"$").matcher(Files.readString(root().resolve("deploy/system.toml")));
            if (!run.find()) {
                throw new IllegalStateException("deploy/system.toml names no command");
            }
            for (String word : run.group(1).split(" +")) {
                command.add(word.equals("/etc/buckthornbay/node.yaml") ? settings.toString() : word);
            }
        }

        static Path root() {
            return Path.of(System.getProperty("review.root"));
        }

        String front() {
            return ip + ":" + ports.ports[0];
        }

        String readiness() {
            return ip + ":" + ports.ports[1];
        }

        /** Fills in the template of the deploy file with the values of a small deployment. */
        private String render(Store store, int count) throws IOException {
            Map<String, String> values = new LinkedHashMap<>();
            values.put("NodeName", name);
            values.put("Region", "region-a");
            values.put("Zone", "zone-a");
            values.put("Ip", ip);
            values.put("Listen.Front", front());
            values.put("Listen.Readiness", readiness());
            values.put("Listen.Control", ip + ":" + ports.ports[2]);
            values.put("Listen.Directory", ip + ":" + ports.ports[3]);
            values.put("PortRange.0", Integer.toString(ports.ports[4]));
            values.put("Platform.Address", store.address);
            values.put("Limits.MaxFds", "4100");
            values.put("Bounds.GraceS", "8");
            values.put("Bounds.BudgetRatio", "0.2");
            values.put("Bounds.BudgetWindowS", "10");
            values.put("Bounds.BudgetSlack", "58");
            values.put("Bounds.QuotaWindowS", "4");
            values.put("Bounds.ConfigMs", "2500");
            values.put("Bounds.DrainMs", "2500");
            values.put("Bounds.ContactMs", "3000");
            List<String> seeds = new ArrayList<>();
            for (int i = 1; i <= Math.min(count, 3); i++) {
                seeds.add("\"127.0.0." + (i + 1) + ":" + ports.ports[2] + "\"");
            }
            String text = Files.readString(root().resolve("deploy/settings.toml"));
            text = section(text, "Seeds", String.join(",", seeds));
            text = section(text, "Zones", "[[zones]]\nname = \"zone-a\"\nregion = \"region-a\"\n");
            text = text.replaceAll("\\{\\{[#/]Limits\\.MaxFds\\}\\}", "");
            text = section(section(text, "Bounds.ColdOver", ""), "Bounds.EvacMs", "");
            for (Map.Entry<String, String> value : values.entrySet()) {
                text = text.replace("{{" + value.getKey() + "}}", value.getValue());
            }
            if (text.contains("{{")) {
                throw new IllegalStateException("a placeholder of the template is not known: " + text);
            }
            return text;
        }

        private static String section(String text, String name, String filled) {
            return Pattern.compile("(?s)\\{\\{#" + Pattern.quote(name) + "\\}\\}.*?\\{\\{/" + Pattern.quote(name) + "\\}\\}")
                .matcher(text).replaceAll(Matcher.quoteReplacement(filled));
        }

        RouterProcess start() throws Exception {
            ProcessBuilder builder = new ProcessBuilder(command).directory(root().toFile());
            builder.environment().put("BUCKTHORNBAY_BOOT", settings.toString());
            builder.redirectOutput(ProcessBuilder.Redirect.appendTo(folder.resolve("log").toFile()));
            process = Kit.start(builder);
            note("router " + name + " started, pid " + process.pid());
            return this;
        }

        /** Waits until the readiness address answers 200. */
        void awaitReady() throws Exception {
            for (int i = 0; i < 400; i++) {
                if (isReady()) {
                    note("router " + name + " is ready");
                    return;
                }
                sleep(50);
            }
            throw new IllegalStateException("router " + name + " isn't ready:\n" + Files.readString(folder.resolve("log")));
        }

        boolean isReady() {
            try (Socket socket = new Socket()) {
                socket.connect(new InetSocketAddress(ip, ports.ports[1]), 200);
                socket.setSoTimeout(500);
                socket.getOutputStream().write(bytes("GET /v1/readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"));
                Head head = readHead(socket.getInputStream());
                return head != null && head.first.startsWith("HTTP/1.1 200");
            } catch (IOException e) {
                return false;
            }
        }

        /** Copies the lines of the router's log with one of the words to record.txt. */
        void noteLog(String... words) throws IOException {
            for (String line : Files.readAllLines(folder.resolve("log"))) {
                for (String word : words) {
                    if (line.contains(word)) {
                        note("router's log: " + line.replaceAll("^.*\"message\":\"(.*)\",\"throwable\".*$", "$1"));
                        break;
                    }
                }
            }
        }
    }

    // ---- clients ------------------------------------------------------------------------------------------------------

    /** How a client's connection or answer ended. */
    static final class Answer {
        String status = "";
        Head head;
        /** How the end of the answer was marked: length, chunks or the end of the connection. */
        String framing = "";
        final ByteArrayOutputStream body = new ByteArrayOutputStream();
        /** Whether the answer ended as its framing says, so that it looks complete. */
        boolean looksComplete;
        String end = "";

        String text() {
            return body.toString(StandardCharsets.ISO_8859_1);
        }
    }

    /** A client with a connection of its own. */
    static final class Client implements AutoCloseable {
        final Socket socket;

        /** Connects; a window above 0 bounds what the connection takes unread, as links with small windows do. */
        Client(String address, int windowBytes) throws IOException {
            socket = new Socket();
            if (windowBytes > 0) {
                socket.setReceiveBufferSize(windowBytes);
            }
            socket.setTcpNoDelay(true);
            int colon = address.indexOf(':');
            socket.connect(new InetSocketAddress(address.substring(0, colon), Integer.parseInt(address.substring(colon + 1))), 1_000);
        }

        void send(String method, String target, String id, int deadlineMillis, String more, String body) throws IOException {
            String length = body.isEmpty() ? "" : "Content-Length: " + body.length() + "\r\n";
            socket.getOutputStream().write(bytes(method + " " + target + " HTTP/1.1\r\nHost: " + HOST + "\r\nX-Buckthornbay-Attempt-Id: "
                + id + "\r\nX-Buckthornbay-Deadline-Ms: " + deadlineMillis + "\r\nAuthorization: Bearer " + KEY + "\r\n" + more
                + length + "\r\n" + body));
        }

        private long slowUntilMillis;
        private int slowBytesPerSecond;

        /** Lets this client read slowly for so long from now on. */
        void slow(long forMillis, int bytesPerSecond) {
            slowUntilMillis = millis() + forMillis;
            slowBytesPerSecond = bytesPerSecond;
        }

        /** Reads an answer to its end, at most bytesPerSecond (0: as fast as it comes). */
        Answer read(int bytesPerSecond, int limitMillis) {
            Answer answer = new Answer();
            long untilMillis = millis() + limitMillis;
            try {
                socket.setSoTimeout(limitMillis);
                InputStream in = socket.getInputStream();
                answer.head = readHead(in);
                if (answer.head == null) {
                    answer.end = "the connection ended before an answer";
                    return answer;
                }
                answer.status = answer.head.first.split(" ")[1];
                InputStream paced = slowUntilMillis > millis() ? new PacedInput(in, slowBytesPerSecond, slowUntilMillis) : bytesPerSecond > 0 ? new PacedInput(in, bytesPerSecond, Long.MAX_VALUE) : new BufferedInputStream(in);
                if (answer.head.get("Content-Length") != null) {
                    answer.framing = "length";
                    readLength(paced, Integer.parseInt(answer.head.get("Content-Length")), answer, untilMillis);
                } else if ("chunked".equalsIgnoreCase(answer.head.get("Transfer-Encoding"))) {
                    answer.framing = "chunks";
                    readChunks(paced, answer, untilMillis);
                } else {
                    answer.framing = "end of connection";
                    readToEnd(paced, answer, untilMillis);
                }
            } catch (IOException e) {
                answer.end = "the connection broke: " + e.getMessage();
            }
            return answer;
        }

        private static void checkTime(long untilMillis) throws IOException {
            if (millis() > untilMillis) {
                throw new IOException("the client's time limit was reached");
            }
        }

        private static void readLength(InputStream in, int length, Answer answer, long untilMillis) throws IOException {
            while (answer.body.size() < length) {
                checkTime(untilMillis);
                int next = in.read();
                if (next < 0) {
                    answer.end = "the connection ended after " + answer.body.size() + " of " + length + " bytes";
                    return;
                }
                answer.body.write(next);
            }
            answer.looksComplete = true;
            answer.end = "complete by its length";
        }

        private static void readChunks(InputStream in, Answer answer, long untilMillis) throws IOException {
            while (true) {
                StringBuilder size = new StringBuilder();
                for (int next = in.read(); next != '\n'; next = in.read()) {
                    if (next < 0) {
                        answer.end = "the connection ended without the last chunk";
                        return;
                    }
                    if (next != '\r') {
                        size.append((char) next);
                    }
                }
                int left = Integer.parseInt(size.toString(), 16);
                for (int i = 0; i < left + 2; i++) {
                    checkTime(untilMillis);
                    int next = in.read();
                    if (next < 0) {
                        answer.end = "the connection ended within a chunk";
                        return;
                    }
                    if (i < left) {
                        answer.body.write(next);
                    }
                }
                if (left == 0) {
                    answer.looksComplete = true;
                    answer.end = "complete by its last chunk";
                    return;
                }
            }
        }

        private static void readToEnd(InputStream in, Answer answer, long untilMillis) throws IOException {
            for (int next = in.read(); next >= 0; next = in.read()) {
                checkTime(untilMillis);
                answer.body.write(next);
            }
            answer.looksComplete = true;
            answer.end = "ended by a regular close of the connection (no reset)";
        }

        @Override
        public void close() throws IOException {
            socket.close();
        }
    }

    /** Reads at most so many bytes a second, as a slow client does. */
    static final class PacedInput extends InputStream {
        private final InputStream in;
        private final int bytesPerSecond;
        private final byte[] buffer;
        private final long untilMillis;
        private int position;
        private int filled;

        PacedInput(InputStream in, int bytesPerSecond, long untilMillis) {
            this.in = in;
            this.untilMillis = untilMillis;
            this.bytesPerSecond = bytesPerSecond;
            buffer = new byte[Math.max(1, bytesPerSecond / 20)];
        }

        @Override
        public int read() throws IOException {
            if (position == filled) {
                if (millis() < untilMillis) {
                    sleep(50);
                }
                filled = in.read(buffer);
                position = 0;
                if (filled <= 0) {
                    filled = 0;
                    return -1;
                }
            }
            return buffer[position++] & 0xff;
        }
    }

    /** Numbers of the events in the text of a stream, in order. */
    static List<Integer> eventIds(String text) {
        List<Integer> ids = new ArrayList<>();
        Matcher matcher = Pattern.compile("(?m)^id: (\\d+)$").matcher(text);
        while (matcher.find()) {
            ids.add(Integer.parseInt(matcher.group(1)));
        }
        return ids;
    }

    interface Case {
        /** Returns whether the rule held. */
        boolean run() throws Exception;
    }

    /** Runs a case, writes to the file that the first argument names (record.txt of the case), and exits with its result. */
    static void main(String[] args, Case body) throws Exception {
        openRecord(Path.of(args[0]));
        Runtime.getRuntime().addShutdownHook(new Thread(Kit::endAll));
        int result = COULD_NOT_RUN;
        try {
            result = body.run() ? HELD : BROKEN;
        } catch (Exception e) {
            note("could not run: " + e);
            e.printStackTrace();
        } finally {
            endAll();
        }
        note("exit " + result + (result == HELD ? ": the rule held" : result == BROKEN ? ": the rule was broken" : ": could not run"));
        Runtime.getRuntime().halt(result);
    }
}
