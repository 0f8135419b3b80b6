package review3;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.File;
import java.io.IOException;
import java.io.OutputStream;
import java.io.PrintWriter;
import java.net.HttpURLConnection;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A small deployment on loopback addresses: the project's processes, databases and platform. */
final class Rig implements AutoCloseable {
    static final int CALLER = 21001;
    static final int READY = 21002;
    static final int CONTROL = 21003;
    static final int LINK = 21010;
    static final int DATABASE = 21030;
    static final int PLATFORM = 21040;
    static final List<String> ZONES = List.of("delft", "gouda", "leiden");

    /** What a case throws if it cannot run. */
    static final class CannotRun extends RuntimeException {
        CannotRun(String message) {
            super(message);
        }
    }

    interface Action {
        void run() throws Exception;
    }

    static Thread thread(String name, Action action) {
        Thread thread =
                new Thread(
                        null,
                        () -> {
                            try {
                                action.run();
                            } catch (Exception e) {
                                // Ends with its connection.
                            }
                        },
                        name,
                        256 << 10);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    /** One process of the deployment. */
    final class Proc {
        final String name;
        final String role;
        final String ip;
        final String zone;
        final Path log;
        final List<String> events = new ArrayList<>();
        Process process;
        boolean first = true;
        boolean signalled;
        boolean restart = true;
        /** Ends that nobody asked for. */
        int ownEnds;

        Proc(String name, String role, String ip, String zone) {
            this.name = name;
            this.role = role;
            this.ip = ip;
            this.zone = zone;
            this.log = folder.resolve(name + "-" + role + ".log");
        }

        synchronized void start() throws IOException {
            Path settings = folder.resolve(name + "-" + role + ".toml");
            Files.writeString(settings, settings(this));
            first = false;
            signalled = false;
            ProcessBuilder builder =
                    new ProcessBuilder(command(role).split(" "))
                            .directory(root.toFile())
                            .redirectErrorStream(true)
                            .redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
            builder.environment().keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
            builder.environment().put("CROCUSTURN_SETTINGS", settings.toString());
            Process started = builder.start();
            process = started;
            record(name + "/" + role + " started");
            started.onExit().thenAccept(p -> ended(p));
        }

        private void ended(Process p) {
            synchronized (this) {
                if (closing) {
                    return;
                }
                if (!signalled) {
                    ownEnds++;
                }
                record(
                        name + "/" + role + " ended with status " + p.exitValue()
                                + (signalled ? " after a signal" : " BY ITSELF"));
                if (!restart) {
                    return;
                }
            }
            thread(
                    "restart",
                    () -> {
                        Thread.sleep(500);
                        if (!closing) {
                            start();
                        }
                    });
        }

        synchronized void kill() {
            signalled = true;
            record(name + "/" + role + " SIGKILL");
            process.destroyForcibly();
        }

        synchronized void terminate() {
            signalled = true;
            record(name + "/" + role + " SIGTERM");
            process.destroy();
        }

        void signal(String signal) {
            record(name + "/" + role + " SIG" + signal);
            try {
                new ProcessBuilder("kill", "-" + signal, "" + process.pid()).start().waitFor();
            } catch (IOException | InterruptedException e) {
                throw new CannotRun("kill: " + e);
            }
        }

        /** Returns the lines of the log that contain a text. */
        List<String> logLines(String text) throws IOException {
            List<String> lines = new ArrayList<>();
            for (String line : new String(Files.readAllBytes(log), StandardCharsets.ISO_8859_1).split("\n")) {
                if (line.contains(text)) {
                    lines.add(line.length() > 300 ? line.substring(0, 300) : line);
                }
            }
            return lines;
        }
    }

    final Path root;
    final Path folder;
    final String prefix;
    final ServerSocket claim;
    final PrintWriter record;
    final long startNanos = System.nanoTime();
    final List<Proc> processes = new ArrayList<>();
    final Map<String, Db.Log> logs = new LinkedHashMap<>();
    final List<Db> databases = new ArrayList<>();
    final Map<String, String> holders = new ConcurrentHashMap<>();
    final Map<String, Long> fences = new ConcurrentHashMap<>();
    final String deployFile;
    final HttpServer platform;
    volatile boolean closing;

    Rig(Path root, Path caseFolder) throws IOException {
        this.root = root;
        this.record = new PrintWriter(Files.newBufferedWriter(caseFolder.resolve("record.txt")), true);
        this.folder = Files.createTempDirectory("review3-");
        this.deployFile = Files.readString(root.resolve("deploy/system.toml"));
        ServerSocket socket = null;
        String free = null;
        Random random = new Random();
        for (int i = 0; i < 100 && socket == null; i++) {
            free = "127." + (1 + random.nextInt(250)) + "." + (1 + random.nextInt(250)) + ".";
            try {
                socket = new ServerSocket(19998, 1, InetAddress.getByName(free + "253"));
            } catch (IOException e) {
                // Another run has it.
            }
        }
        if (socket == null) {
            throw new CannotRun("no free loopback network");
        }
        claim = socket;
        prefix = free;
        platform = HttpServer.create(new InetSocketAddress(prefix + "250", PLATFORM), 0);
        platform.createContext("/promotion", this::promotion);
        platform.setExecutor(
                Executors.newCachedThreadPool(
                        r -> {
                            Thread t = new Thread(r, "platform");
                            t.setDaemon(true);
                            return t;
                        }));
        platform.start();
        Runtime.getRuntime().addShutdownHook(new Thread(this::endAll));
    }

    synchronized void record(String text) {
        record.printf("%8.3f %s%n", (System.nanoTime() - startNanos) / 1e9, text);
    }

    private void promotion(HttpExchange exchange) throws IOException {
        String body = new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
        String service = field(body, "service");
        String id = field(body, "id");
        String holder = exchange.getRequestHeaders().getFirst("Lease-Holder");
        long fence = Long.parseLong(exchange.getRequestHeaders().getFirst("Fencing-Token"));
        int status;
        synchronized (fences) {
            Db db = databases.stream().filter(d -> d.id.equals(id)).findFirst().orElse(null);
            if (fence < fences.getOrDefault(service, 0L) || db == null) {
                status = 409;
            } else {
                fences.put(service, fence);
                holders.put(service, holder);
                status = 200;
                if (!db.isPrimary()) {
                    thread(
                            "promote",
                            () -> {
                                Thread.sleep(600);
                                db.log.promote(db);
                            });
                }
            }
        }
        record("platform: POST /promotion " + service + " " + id + " by " + holder + " with " + fence + ": " + status);
        exchange.sendResponseHeaders(status, -1);
        exchange.close();
    }

    private static String field(String json, String name) {
        Matcher m = Pattern.compile("\"" + name + "\"\\s*:\\s*\"([^\"]*)\"").matcher(json);
        return m.find() ? m.group(1) : "";
    }

    String command(String role) {
        Matcher m =
                Pattern.compile("\\[roles\\." + role + "\\]\\s*\\nrun = \"([^\"]*)\"").matcher(deployFile);
        if (!m.find()) {
            throw new CannotRun("the deploy file has no role " + role);
        }
        return m.group(1);
    }

    String settings(Proc p) {
        List<String> seeds = new ArrayList<>();
        for (Proc q : processes) {
            if (q.role.equals("control")) {
                seeds.add("\"" + q.ip + ":" + CONTROL + "\"");
            }
        }
        boolean core = !p.role.equals("entry");
        String listen =
                p.role.equals("entry")
                        ? "frontend = \"" + p.ip + ":" + CALLER + "\"\nreadiness = \"" + p.ip + ":" + READY + "\"\n"
                        : p.role.equals("control") ? "control = \"" + p.ip + ":" + CONTROL + "\"\n" : "";
        Path data = folder.resolve("data-" + p.name);
        if (core) {
            data.toFile().mkdirs();
        }
        return "node-name = \"" + p.name + "\"\nrole = \"" + p.role + "\"\nmachine-class = \""
                + (core ? "core" : "frontend") + "\"\nip = \"" + p.ip + "\"\nzone = \"" + p.zone
                + "\"\nregion = \"zuid-holland\"\ninternal-ports = [" + LINK + "," + (LINK + 15) + "]\nseeds = ["
                + String.join(",", seeds) + "]\nbootstrap = " + p.first + "\nin-fault-budget = " + core + "\n"
                + (core ? "data-dir = \"" + data + "\"\n" : "")
                + "discovery = \"registry\"\nentry = \"vip\"\nheartbeat-ms = 1200\n"
                + "contracts = [\"base\",\"drain\",\"config\",\"cost\",\"recover\",\"sql\",\"tenants\",\"quota\",\"places\"]\n"
                + "config_mode = \"highest\"\n[zones]\ndelft = \"zuid-holland\"\ngouda = \"zuid-holland\"\n"
                + "leiden = \"zuid-holland\"\n[listen]\n" + listen
                + "[limits]\ncpu-share = " + (core ? "0.45" : "0.75") + "\ncores = 1\nmemory-mb = "
                + (core ? 426 : 430) + "\nmax-fds = 4200\nlink-mbps = 1000.0\ndisk-mb = " + (core ? 128 : 0)
                + "\n[fault-tolerance]\nmachines = 1\nzones = 1\nregions = 0\n[bounds]\nseed-lag-s = 3\n"
                + "reuse-delay-s = 2\nstability-ms = 4000\nack-timeout-ms = 5000\ncatch-up-s = 4\ndrain-ms = 7000\n"
                + "grace-s = 6\nloss-slack-ms = 200\nconfig-apply-ms = 3000\nrollback-slack-ms = 250\n"
                + "max-skew-ms = 12000\nrevoke-strict = false\nrevoke-ms = 5000\nquota-window-s = 5\n"
                + "quota-overage = 0.1\nquota-slack = 20\ncold-overage = 1.5\ncold-slack = 5\nevacuate-ms = 5000\n"
                + "recovery-s = 12\nfencing-required = true\nthaw-slack-ms = 300\n[cloud-api]\naddress = \""
                + prefix + "250:" + PLATFORM + "\"\nrate-per-s = 50.0\nduties = [\"promotion\"]\nduty-per-s = 50.0\n";
    }

    /** Adds a service with three databases of the sheet's size. */
    void addService(String service, int slots, int maxConns, long workMillis) throws IOException {
        Db.Log log = new Db.Log();
        logs.put(service, log);
        for (int i = 0; i < 3; i++) {
            int n = databases.size();
            databases.add(
                    new Db("i-" + service + "-" + (i + 1), service, ZONES.get(i), prefix + (200 + n), DATABASE,
                            slots, maxConns, workMillis, log));
        }
    }

    /** Starts the processes. */
    void start(int entryHosts, int coreHosts) throws Exception {
        for (int i = 0; i < coreHosts; i++) {
            processes.add(new Proc("core-" + (i + 1), "control", prefix + (100 + i), ZONES.get(i % 3)));
        }
        for (int i = 0; i < coreHosts; i++) {
            processes.add(new Proc("core-" + (i + 1), "leaseholder", prefix + (100 + i), ZONES.get(i % 3)));
        }
        for (int i = 0; i < entryHosts; i++) {
            processes.add(new Proc("frontend-" + (i + 1), "entry", prefix + (10 + i), ZONES.get(i % 3)));
        }
        for (Proc p : processes) {
            p.start();
        }
        for (Db db : databases) {
            thread("beat-" + db.id, () -> beat(db));
        }
    }

    private void beat(Db db) throws Exception {
        int seq = 0;
        int host = 0;
        while (!closing) {
            seq++;
            String body =
                    "{\"service\":\"" + db.service + "\",\"address\":\"" + db.address() + "\",\"zone\":\"" + db.zone
                            + "\",\"version\":\"v1\",\"slots\":" + db.slotCount
                            + ",\"state\":\"ready\",\"cold-remaining-ms\":0,\"db-role\":\""
                            + (db.isPrimary() ? "primary" : "replica") + "\",\"seq-no\":" + seq + ",\"born\":" + db.born + "}";
            int status = call(host, "PUT", "/instances/" + db.id, body);
            if (status / 100 == 2) {
                Thread.sleep(1200);
            } else {
                host++;
                Thread.sleep(100);
            }
        }
    }

    List<Proc> role(String role) {
        return processes.stream().filter(p -> p.role.equals(role)).toList();
    }

    Proc process(String name, String role) {
        return processes.stream().filter(p -> p.name.equals(name) && p.role.equals(role)).findFirst().orElse(null);
    }

    /** Calls a control host; returns the status, or 0 without a response. */
    int call(int host, String method, String path, String body) {
        List<Proc> control = role("control");
        return callAt(control.get(Math.floorMod(host, control.size())).ip, method, path, body, 0);
    }

    private int callAt(String ip, String method, String path, String body, int hops) {
        try {
            HttpURLConnection c =
                    (HttpURLConnection) URI.create("http://" + ip + ":" + CONTROL + path).toURL().openConnection();
            c.setInstanceFollowRedirects(false);
            c.setRequestMethod(method);
            c.setConnectTimeout(1000);
            c.setReadTimeout(1000);
            if (body != null) {
                c.setDoOutput(true);
                c.setRequestProperty("Content-Type", "application/json");
                try (OutputStream out = c.getOutputStream()) {
                    out.write(body.getBytes(StandardCharsets.UTF_8));
                }
            }
            int status = c.getResponseCode();
            String location = c.getHeaderField("Location");
            c.disconnect();
            if (status == 307 && hops < 2) {
                return callAt(URI.create(location).getHost(), method, path, body, hops + 1);
            }
            return status;
        } catch (IOException e) {
            return 0;
        }
    }

    /** Sends a configuration until it is acknowledged. */
    void configure(String configuration, long limitMillis) throws InterruptedException {
        long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(limitMillis);
        for (int host = 0; System.nanoTime() < until; host++) {
            int status = call(host, "PUT", "/config", configuration);
            if (status / 100 == 2) {
                record("operator: the configuration is acknowledged");
                return;
            }
            if (status / 100 == 4) {
                throw new CannotRun("the configuration was refused with " + status);
            }
            Thread.sleep(100);
        }
        throw new CannotRun("the configuration was not acknowledged");
    }

    static String configuration(int version, List<String> routes, List<String> services, List<String> tenants) {
        return "{\"version\":" + version + ",\"routes\":[" + String.join(",", routes) + "],\"services\":["
                + String.join(",", services) + "],\"limits\":{\"max-header-bytes\":16384,\"max-body-bytes\":262144,"
                + "\"header-timeout-ms\":3000,\"idle-timeout-ms\":15000,\"tx-idle-ms\":3000},\"tenants\":["
                + String.join(",", tenants) + "]}";
    }

    static String route(String host, String type, String service, int timeout) {
        return "{\"name\":\"r-" + host + "\",\"host\":\"" + host + "\",\"path-prefix\":\"/\",\"type\":\"" + type
                + "\",\"timeout-ms\":" + timeout + ",\"target-latency-ms\":400,\"priority\":1,\"service\":\"" + service
                + "\",\"max-attempts\":2,\"max-staleness-ms\":1500,\"allow-anonymous\":false}";
    }

    static String service(String name, int conns) {
        return "{\"name\":\"" + name + "\",\"health-path\":\"/healthz\",\"max-conns\":" + conns
                + ",\"protocol\":\"h1\",\"tls\":false,\"cold-start-s\":0.0,\"cold-per-s\":0.0,\"sync-replicas\":1}";
    }

    static String tenant(String name, String key, int rate) {
        return "{\"name\":\"" + name + "\",\"api-keys\":[\"" + key + "\"],\"priority\":1,\"rate-per-s\":" + rate
                + ",\"burst\":" + rate + "}";
    }

    /** Returns the host that serves a service, as its log tells. */
    Proc holder(String service) throws IOException {
        Proc found = null;
        String latest = "";
        for (Proc p : processes) {
            for (String line : p.role.equals("control") ? List.<String>of() : p.logLines("has primary i-" + service)) {
                if (line.compareTo(latest) > 0) {
                    latest = line;
                    found = p;
                }
            }
        }
        if (found == null) {
            throw new CannotRun("no host serves " + service);
        }
        record(service + " is served by " + found.name + "/" + found.role);
        return found;
    }

    /** Waits until a statement succeeds at each given entry host. */
    void awaitServing(List<Proc> hosts, String database, String key, String statement, long limitMillis)
            throws InterruptedException {
        long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(limitMillis);
        for (Proc p : hosts) {
            String last = "";
            boolean served = false;
            while (!served && System.nanoTime() < until) {
                try (Client client = new Client(p.ip, CALLER, database, key)) {
                    Client.Answer answer = client.query(statement);
                    served = answer.ok();
                    last = answer.error();
                } catch (IOException e) {
                    last = e.getMessage();
                }
                if (!served) {
                    Thread.sleep(200);
                }
            }
            if (!served) {
                throw new CannotRun(p.name + " does not serve: " + last);
            }
            record(p.name + " serves");
        }
    }

    private synchronized void endAll() {
        closing = true;
        for (Proc p : processes) {
            if (p.process != null) {
                p.process.destroyForcibly();
            }
        }
        for (Proc p : processes) {
            try {
                if (p.process != null) {
                    p.process.waitFor(5, TimeUnit.SECONDS);
                }
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }

    /** Records the processes that ended by themselves, with the cause that their logs give. */
    void recordOwnEnds(String cause) throws IOException {
        for (Proc p : processes) {
            if (p.ownEnds > 0) {
                record(p.name + "/" + p.role + " ended by itself " + p.ownEnds + " times");
                recordLog(p, cause, 4);
            }
        }
    }

    /** Returns the machines on which processes ended by themselves at least three times. */
    long machinesWithThreeEnds() {
        Map<String, Integer> ends = new LinkedHashMap<>();
        processes.forEach(p -> ends.merge(p.name, p.ownEnds, Integer::sum));
        return ends.values().stream().filter(n -> n >= 3).count();
    }

    /** Copies the last lines of a process log into the record. */
    void recordLog(Proc p, String text, int most) throws IOException {
        List<String> lines = p.logLines(text);
        for (String line : lines.subList(0, Math.min(most, lines.size()))) {
            record("  log of " + p.name + "/" + p.role + ": " + line);
        }
    }

    @Override
    public void close() {
        closing = true;
        endAll();
        platform.stop(0);
        if (System.getenv("KEEP") == null) {
            deleteTree(folder.toFile());
        } else {
            record("logs in the temporary folder " + folder.getFileName());
        }
        record.close();
        try {
            claim.close();
        } catch (IOException e) {
            // Nothing depends on it.
        }
    }

    private static void deleteTree(File file) {
        File[] children = file.listFiles();
        if (children != null) {
            for (File child : children) {
                deleteTree(child);
            }
        }
        file.delete();
    }

    /** A case: returns whether the rule held. */
    interface Case {
        boolean run(Rig rig, boolean trouble) throws Exception;
    }

    /** Runs a case and exits with 0 if the rule held, 1 if it was broken and 2 if it could not run. */
    static void main(String[] args, Case c) throws Exception {
        Path root = Path.of(args[0]).toAbsolutePath().normalize();
        Path caseFolder = Path.of(args[1]).toAbsolutePath().normalize();
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        thread(
                "limit",
                () -> {
                    Thread.sleep(115_000);
                    System.err.println("the case did not end in time");
                    System.exit(2);
                });
        int status;
        Rig rig = new Rig(root, caseFolder);
        try {
            rig.record("trouble: " + trouble);
            boolean held = c.run(rig, trouble);
            rig.record(held ? "the rule held" : "the rule was broken");
            status = held ? 0 : 1;
        } catch (CannotRun | IOException e) {
            rig.record("the case could not run: " + e);
            System.err.println(e);
            status = 2;
        } finally {
            rig.close();
        }
        System.exit(status);
    }
}
