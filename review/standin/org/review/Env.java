package org.review;

import com.sun.net.httpserver.HttpServer;
import java.io.BufferedInputStream;
import java.io.BufferedWriter;
import java.io.IOException;
import java.io.InputStream;
import java.net.HttpURLConnection;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.Executors;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/** A small deployment: the project's processes, the platform, and the operator. */
final class Env implements AutoCloseable {
    static final String KEY = "u6wsjnbanfqasnmgkcuy";
    private static final String[] ZONES = {"abdali", "marka", "tlaa-ali"};

    final int octet;
    private final ServerSocket blockLock;
    final int linkPort;
    final int controlPort;
    final int frontendPort;
    final int readinessPort;
    final int databasePort;
    final int platformPort;
    final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    final long startNanos = System.nanoTime();
    final Map<String, Process> processes = new LinkedHashMap<>();
    final List<Service> services = new ArrayList<>();
    final Path folder;
    volatile int ownEnds;
    volatile boolean closing;
    final Queue<Order> ordersSeen = new ConcurrentLinkedQueue<>();
    volatile String lastHolder = "";
    private final BufferedWriter record;
    private HttpServer platform;
    volatile OrderHandler orders = (service, id, fence) -> service.promote(id, fence);

    /** One call of a holder to the platform. */
    record Order(String service, String id, String holder, long token) {}

    /** Handles one POST /promotion; 0 means that no answer is sent. */
    interface OrderHandler {
        int handle(Service service, String id, long fence);
    }

    Env(Path recordFile) throws IOException {
        record = Files.newBufferedWriter(recordFile);
        folder = Files.createTempDirectory("crocusturn-review");
        // The metrics ports are fixed, so each run needs a block of addresses of its own.
        int free = 0;
        ServerSocket lock = null;
        while (lock == null) {
            free = 20 + new java.util.Random().nextInt(200);
            lock = lockBlock(free);
        }
        octet = free;
        blockLock = lock;
        linkPort = freePair();
        controlPort = freePort();
        frontendPort = freePort();
        readinessPort = freePort();
        databasePort = freePort();
        platformPort = freePort();
        Runtime.getRuntime().addShutdownHook(new Thread(this::killAll));
    }

    /** Takes a block of addresses until this process ends; returns null if it is in use. */
    private static ServerSocket lockBlock(int octet) {
        try {
            return new ServerSocket(9464, 1, InetAddress.getByName("127." + octet + ".3.9"));
        } catch (IOException e) {
            return null;
        }
    }

    synchronized void record(String line) {
        String text = String.format("%9.3f %s", (System.nanoTime() - startNanos) / 1e9, line);
        try {
            record.write(text);
            record.newLine();
            record.flush();
        } catch (IOException e) {
            System.err.println("record: " + e);
        }
    }

    private String ip(int group, int number) {
        return "127." + octet + "." + group + "." + number;
    }

    String controlIp(int i) {
        return ip(1, i);
    }

    String entryIp(int i) {
        return ip(2, i);
    }

    private int freePort() throws IOException {
        try (ServerSocket s = new ServerSocket(0, 1, InetAddress.getByName(ip(1, 1)))) {
            return s.getLocalPort();
        }
    }

    private int freePair() throws IOException {
        while (true) {
            int port = freePort();
            try (ServerSocket s =
                    new ServerSocket(port + 1, 1, InetAddress.getByName(ip(1, 1)))) {
                return port;
            } catch (IOException e) {
                record("port " + (port + 1) + " is in use");
            }
        }
    }

    /** Creates a service of three databases, one in each zone; the first one is the primary. */
    Service addService(String name) {
        Service service = new Service(this, name);
        int group = 10 + services.size();
        // The replication thread of the service reads the list already.
        synchronized (service) {
            for (int i = 0; i < 3; i++) {
                service.dbs.add(
                        new Db(
                                service,
                                "i-" + name + "-" + (char) ('a' + i),
                                ip(group, i + 1),
                                databasePort,
                                ZONES[i]));
            }
            service.dbs.get(0).primary = true;
        }
        services.add(service);
        return service;
    }

    /** Adds a database to a service; it is not started. */
    Db addDatabase(Service service, int number) {
        Db db =
                new Db(
                        service,
                        "i-" + service.name + "-" + (char) ('a' + number - 1),
                        ip(10 + services.indexOf(service), number),
                        databasePort,
                        ZONES[(number - 1) % 3]);
        synchronized (service) {
            service.dbs.add(db);
        }
        return db;
    }

    String zone(int i) {
        return ZONES[i];
    }

    // ---- the project's processes -------------------------------------------------------------

    /** Starts three control hosts with their leaseholders, and the given number of entry hosts. */
    void startSystem(int entries) throws IOException {
        for (int i = 1; i <= 3; i++) {
            startProcess("control", "core-" + i, controlIp(i), ZONES[i - 1], true);
            startProcess("leaseholder", "core-" + i, controlIp(i), ZONES[i - 1], true);
        }
        for (int i = 1; i <= entries; i++) {
            startProcess("entry", "frontend-" + i, entryIp(i), ZONES[(i - 1) % 3], true);
        }
    }

    void startProcess(String role, String name, String ip, String zone, boolean bootstrap)
            throws IOException {
        Path settings = folder.resolve(name + "-" + role + ".toml");
        Files.writeString(settings, settings(role, name, ip, zone, bootstrap));
        List<String> command = new ArrayList<>(List.of(command(role).split(" ")));
        ProcessBuilder builder = new ProcessBuilder(command);
        builder.environment().put("CROCUSTURN_SETTINGS", settings.toString());
        builder.redirectErrorStream(true);
        builder.redirectOutput(
                ProcessBuilder.Redirect.appendTo(
                        folder.resolve(name + "-" + role + ".log").toFile()));
        Process process = builder.start();
        processes.put(name + "/" + role, process);
        record("started " + role + " " + name + " at " + ip + ", process " + process.pid());
    }

    /** Starts again what has ended, after a short delay, as the platform does. */
    void restartEnded() {
        Thread thread =
                new Thread(
                        () -> {
                            while (!closing) {
                                sleep(200);
                                for (String name : List.copyOf(processes.keySet())) {
                                    restartIfEnded(name);
                                }
                            }
                        });
        thread.setDaemon(true);
        thread.start();
    }

    private synchronized void restartIfEnded(String name) {
        Process process = processes.get(name);
        if (closing || process.isAlive()) {
            return;
        }
        record("process " + name + " has ended by itself with " + process.exitValue());
        ownEnds++;
        sleep(500);
        String[] parts = name.split("/");
        int number = Integer.parseInt(parts[0].substring(parts[0].indexOf('-') + 1));
        boolean entry = parts[1].equals("entry");
        try {
            startProcess(
                    parts[1],
                    parts[0],
                    entry ? entryIp(number) : controlIp(number),
                    ZONES[(number - 1) % 3],
                    false);
        } catch (IOException e) {
            record("restart of " + name + ": " + e);
        }
    }

    private static String command(String role) throws IOException {
        String deploy = Files.readString(Path.of("deploy/system.toml"));
        Matcher m =
                Pattern.compile(
                                "\\[roles\\." + role + "\\][^\\[]*?run\\s*=\\s*\"([^\"]*)\"",
                                Pattern.DOTALL)
                        .matcher(deploy);
        if (!m.find()) {
            throw new IOException("no role " + role + " in the deploy file");
        }
        return m.group(1);
    }

    private String settings(String role, String name, String ip, String zone, boolean bootstrap) {
        boolean control = role.equals("control");
        boolean entry = role.equals("entry");
        StringBuilder s = new StringBuilder();
        s.append("node-name = \"").append(name).append("\"\n");
        s.append("role = \"").append(role).append("\"\n");
        s.append("machine-class = \"").append(entry ? "frontend" : "core").append("\"\n");
        s.append("serves = [")
                .append(control ? "\"control_plane\"" : entry ? "\"frontend\"" : "")
                .append("]\n");
        s.append("ip = \"").append(ip).append("\"\n");
        s.append("zone = \"").append(zone).append("\"\nregion = \"amman\"\n");
        s.append("internal-ports = [" + linkPort + "," + (linkPort + 1) + "]\n");
        s.append("seeds = [");
        for (int i = 1; i <= 3; i++) {
            s.append(i > 1 ? "," : "").append("\"" + controlIp(i) + ":" + controlPort + "\"");
        }
        s.append("]\nbootstrap = ").append(bootstrap).append('\n');
        s.append("in-fault-budget = ").append(!entry).append('\n');
        if (!entry) {
            s.append("data-dir = \"" + folder.resolve("data-" + name + "-" + role) + "\"\n");
        }
        s.append("discovery = \"registry\"\nentry = \"vip\"\nheartbeat-ms = 1200\n");
        s.append("contracts = [\"base\",\"drain\",\"config\",\"cost\",\"recover\",\"sql\",");
        s.append("\"tenants\",\"quota\",\"places\"]\nconfig_mode = \"highest\"\n");
        s.append("[zones]\nabdali = \"amman\"\nmarka = \"amman\"\ntlaa-ali = \"amman\"\n");
        s.append("[listen]\n");
        if (control) {
            s.append("control = \"" + ip + ":" + controlPort + "\"\n");
        }
        if (entry) {
            s.append("frontend = \"" + ip + ":" + frontendPort + "\"\n");
            s.append("readiness = \"" + ip + ":" + readinessPort + "\"\n");
        }
        s.append("[limits]\ncpu-share = " + (entry ? 0.75 : 0.45) + "\ncores = 1\n");
        s.append("memory-mb = " + (entry ? 430 : 426) + "\nmax-fds = 4300\n");
        s.append("link-mbps = 1000.0\ndisk-mb = " + (entry ? 0 : 128) + "\n");
        s.append("[fault-tolerance]\nmachines = 1\nzones = 1\nregions = 0\n");
        s.append("[bounds]\nseed-lag-s = 3\nreuse-delay-s = 2\nstability-ms = 4000\n");
        s.append("ack-timeout-ms = 5000\ncatch-up-s = 4\ndrain-ms = 7000\ngrace-s = 6\n");
        s.append("loss-slack-ms = 200\nconfig-apply-ms = 3000\nrollback-slack-ms = 250\n");
        s.append("max-skew-ms = 12000\nrevoke-strict = false\nrevoke-ms = 5000\n");
        s.append("quota-window-s = 5\nquota-overage = 0.1\nquota-slack = 20\n");
        s.append("cold-overage = 1.5\ncold-slack = 5\nevacuate-ms = 5000\nrecovery-s = 12\n");
        s.append("fencing-required = true\nthaw-slack-ms = 300\n");
        s.append("[cloud-api]\naddress = \"" + ip(3, 1) + ":" + platformPort + "\"\n");
        s.append("rate-per-s = 50.0\nduties = [\"promotion\"]\nduty-per-s = 50.0\n");
        return s.toString();
    }

    // ---- the platform ------------------------------------------------------------------------

    void startPlatform() throws IOException {
        platform = HttpServer.create(new InetSocketAddress(ip(3, 1), platformPort), 64);
        platform.setExecutor(
                Executors.newCachedThreadPool(
                        r -> {
                            Thread t = new Thread(r, "platform");
                            t.setDaemon(true);
                            return t;
                        }));
        platform.createContext(
                "/promotion",
                exchange -> {
                    String body =
                            new String(
                                    exchange.getRequestBody().readAllBytes(),
                                    StandardCharsets.UTF_8);
                    String name = field(body, "service");
                    String id = field(body, "id");
                    long fence =
                            Long.parseLong(
                                    exchange.getRequestHeaders().getFirst("Fencing-Token"));
                    String holder = exchange.getRequestHeaders().getFirst("Lease-Holder");
                    record(
                            "platform: POST /promotion "
                                    + name
                                    + " "
                                    + id
                                    + " holder "
                                    + holder
                                    + " token "
                                    + fence);
                    lastHolder = holder;
                    ordersSeen.add(new Order(name, id, holder, fence));
                    Service service =
                            services.stream()
                                    .filter(s -> s.name.equals(name))
                                    .findFirst()
                                    .orElseThrow();
                    int status = orders.handle(service, id, fence);
                    if (status > 0) {
                        exchange.sendResponseHeaders(status, -1);
                        exchange.close();
                        record("platform: answered " + status);
                    } else {
                        record("platform: gives no answer");
                    }
                });
        platform.start();
    }

    private static String field(String json, String name) {
        Matcher m = Pattern.compile("\"" + name + "\"\\s*:\\s*\"([^\"]*)\"").matcher(json);
        if (!m.find()) {
            throw new IllegalArgumentException("no field " + name + " in " + json);
        }
        return m.group(1);
    }

    // ---- calls to the control plane ----------------------------------------------------------

    /** Calls one control host, following redirects, and returns the status or -1. */
    int call(String host, String method, String path, String body) {
        String url = "http://" + host + ":" + controlPort + path;
        for (int hop = 0; hop < 3; hop++) {
            try {
                HttpURLConnection c =
                        (HttpURLConnection) URI.create(url).toURL().openConnection();
                c.setInstanceFollowRedirects(false);
                c.setConnectTimeout(1_000);
                c.setReadTimeout(1_000);
                c.setRequestMethod(method);
                if (body != null) {
                    c.setDoOutput(true);
                    c.setRequestProperty("Content-Type", "application/json");
                    c.getOutputStream().write(body.getBytes(StandardCharsets.UTF_8));
                }
                int status = c.getResponseCode();
                if (status != 307) {
                    return status;
                }
                url = c.getHeaderField("Location");
            } catch (IOException e) {
                return -1;
            }
        }
        return -1;
    }

    /** Returns the version of the configuration that any control host returns, or -1. */
    long readVersion() {
        for (int i = 1; i <= 3; i++) {
            String url = "http://" + controlIp(i) + ":" + controlPort + "/config";
            for (int hop = 0; hop < 3; hop++) {
                try {
                    HttpURLConnection c =
                            (HttpURLConnection) URI.create(url).toURL().openConnection();
                    c.setInstanceFollowRedirects(false);
                    c.setConnectTimeout(1_000);
                    c.setReadTimeout(1_000);
                    int status = c.getResponseCode();
                    if (status == 307) {
                        url = c.getHeaderField("Location");
                        continue;
                    }
                    if (status != 200) {
                        break;
                    }
                    String body =
                            new String(c.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
                    Matcher m = Pattern.compile("\"version\":(\\d+)").matcher(body);
                    if (m.find()) {
                        return Long.parseLong(m.group(1));
                    }
                    break;
                } catch (IOException e) {
                    break;
                }
            }
        }
        return -1;
    }

    /** Sends a call to one host after the other until it is acknowledged. */
    boolean callUntilAcknowledged(String method, String path, String body, long timeoutMillis)
            throws InterruptedException {
        long end = System.nanoTime() + timeoutMillis * 1_000_000L;
        int host = 1;
        while (System.nanoTime() < end) {
            int status = call(controlIp(host), method, path, body);
            if (status / 100 == 2) {
                return true;
            }
            host = host % 3 + 1;
            Thread.sleep(100);
        }
        return false;
    }

    /** Returns a configuration with a primary and a read-your-writes route for each service. */
    String configuration(int version) {
        StringBuilder routes = new StringBuilder();
        StringBuilder names = new StringBuilder();
        for (Service service : services) {
            String comma = routes.length() > 0 ? "," : "";
            routes.append(comma)
                    .append(route(service, "p-" + service.name, "primary", ""))
                    .append(',')
                    .append(
                            route(
                                    service,
                                    "o-" + service.name,
                                    "read_your_writes",
                                    ",\"max-staleness-ms\":2500"));
            names.append(comma)
                    .append("{\"name\":\"" + service.name + "\",\"health-path\":\"/healthz\",")
                    .append("\"max-conns\":16,\"protocol\":\"h1\",\"tls\":false,")
                    .append("\"cold-start-s\":0.0,\"cold-per-s\":0.0,\"sync-replicas\":1}");
        }
        return "{\"version\":"
                + version
                + ",\"routes\":["
                + routes
                + "],\"services\":["
                + names
                + "],\"limits\":{\"max-header-bytes\":16384,\"max-body-bytes\":262144,"
                + "\"header-timeout-ms\":3000,\"idle-timeout-ms\":15000,\"tx-idle-ms\":3000},"
                + "\"tenants\":[{\"name\":\"nypu920\",\"api-keys\":[\""
                + KEY
                + "\"],\"priority\":1,\"rate-per-s\":400,\"burst\":400}]}";
    }

    private static String route(Service service, String host, String type, String more) {
        return "{\"name\":\"r-"
                + host
                + "\",\"host\":\""
                + host
                + "\",\"path-prefix\":\"/\",\"type\":\""
                + type
                + "\",\"timeout-ms\":800,\"target-latency-ms\":200,\"priority\":1,\"service\":\""
                + service.name
                + "\",\"max-attempts\":2"
                + more
                + ",\"allow-anonymous\":false}";
    }

    void startHeartbeats(Db db) {
        Thread thread = new Thread(() -> beat(db), "beat-" + db.id);
        thread.setDaemon(true);
        thread.start();
    }

    /** Returns the body of the next heartbeat of a database. */
    String heartbeat(Db db) {
        synchronized (db.service) {
            return "{\"service\":\""
                    + db.service.name
                    + "\",\"address\":\""
                    + db.ip
                    + ":"
                    + db.port
                    + "\",\"zone\":\""
                    + db.zone
                    + "\",\"version\":\"v1\",\"slots\":2,\"state\":\""
                    + (db.draining ? "draining" : "ready")
                    + "\",\"cold-remaining-ms\":0,\"db-role\":\""
                    + (db.primary ? "primary" : "replica")
                    + "\",\"seq-no\":"
                    + ++db.seq
                    + ",\"born\":"
                    + db.born
                    + "}";
        }
    }

    private void beat(Db db) {
        int host = 1 + db.id.hashCode() % 3;
        boolean lastDraining = false;
        while (db.running) {
            boolean draining = db.draining;
            String body = heartbeat(db);
            host = (host - 1 + 3) % 3 + 1;
            db.lastBeat = System.nanoTime();
            int status = call(controlIp(host), "PUT", "/instances/" + db.id, body);
            if (status / 100 != 2) {
                host = host % 3 + 1;
                sleep(100);
                continue;
            }
            if (draining && !db.drainAcked) {
                db.drainAcked = true;
                db.drainAckedAt = System.nanoTime();
                record(db.id + " draining is acknowledged");
            }
            while (db.running
                    && db.draining == draining
                    && System.nanoTime() - db.lastBeat < 1_200_000_000L) {
                sleep(10);
            }
        }
    }

    static void sleep(long millis) {
        try {
            Thread.sleep(Math.max(0, millis));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    // ---- end ---------------------------------------------------------------------------------

    void signal(String process, String signal) throws IOException, InterruptedException {
        long pid = processes.get(process).pid();
        record("signal " + signal + " to " + process + ", process " + pid);
        new ProcessBuilder("kill", "-" + signal, Long.toString(pid)).start().waitFor();
    }

    private void killAll() {
        closing = true;
        processes.values().forEach(Process::destroyForcibly);
    }

    @Override
    public void close() throws IOException {
        closing = true;
        processes.forEach(
                (name, p) -> {
                    if (!p.isAlive()) {
                        record("process " + name + " had ended with " + p.exitValue());
                    }
                });
        killAll();
        for (Process p : processes.values()) {
            try {
                p.waitFor();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
        if (platform != null) {
            platform.stop(0);
        }
        if (System.getenv("REVIEW_KEEP") == null) {
            try (Stream<Path> files = Files.walk(folder)) {
                files.sorted(Comparator.reverseOrder()).forEach(p -> p.toFile().delete());
            }
        } else {
            System.out.println("logs in " + folder);
        }
        blockLock.close();
        synchronized (this) {
            record.close();
        }
    }
}
