package org.review2;

import java.io.BufferedInputStream;
import java.io.BufferedReader;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.io.PrintWriter;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/**
 * Runs the project's own programs as processes on loopback addresses, with the commands of the
 * deploy file, and holds what all stand-ins of a case share: addresses, clock and record.
 */
final class Rig implements AutoCloseable {
    static final int HELD = 0;
    static final int BROKEN = 1;
    static final int NOT_RUN = 2;

    private static final int FIRST_PORT = 21_000;
    private static final int CLAIM_PORT = 20_998;
    private static final int HTTP_OK = 200;

    final String prefix;
    final int linkPort;
    final int controlPort;
    final int callerPort;
    final int readyPort;
    final int peerPort;
    final Path folder;
    final List<Proc> procs = new CopyOnWriteArrayList<>();

    private final ServerSocket mClaim;
    private final PrintWriter mRecord;
    private final Map<String, List<String>> mCommands;
    private final List<String> mSeedIps = new ArrayList<>();
    private final long mStartNanos = System.nanoTime();
    private volatile boolean mClosed;

    /** A process of the system: a role on a machine. */
    final class Proc {
        final String name;
        final String role;
        final String ip;
        final String zone;
        final boolean restarts;
        volatile Process process;
        volatile int exits;
        volatile boolean signalled;
        private boolean mStarted;

        Proc(String name, String role, String ip, String zone, boolean restarts) {
            this.name = name;
            this.role = role;
            this.ip = ip;
            this.zone = zone;
            this.restarts = restarts;
        }

        synchronized void start() {
            if (mClosed) {
                return;
            }
            try {
                Path file = folder.resolve(name + "-" + role + ".toml");
                Path data = folder.resolve("data").resolve(name);
                Files.createDirectories(data);
                Files.writeString(file, settings(this, data, !mStarted));
                mStarted = true;
                ProcessBuilder builder =
                        new ProcessBuilder(mCommands.get(role))
                                .redirectErrorStream(true)
                                .redirectOutput(
                                        ProcessBuilder.Redirect.appendTo(
                                                folder.resolve(name + "-" + role + ".log")
                                                        .toFile()));
                builder.environment()
                        .keySet()
                        .retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
                builder.environment().put("CROCUSTURN_SETTINGS", file.toString());
                signalled = false;
                process = builder.start();
                log("process " + name + " " + role + " started, pid " + process.pid());
                process.onExit().thenAccept(this::onEnd);
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
        }

        private void onEnd(Process ended) {
            if (mClosed) {
                return;
            }
            if (!signalled) {
                exits++;
            }
            log(
                    "process "
                            + name
                            + " "
                            + role
                            + " ended with status "
                            + ended.exitValue()
                            + (signalled ? " after a signal" : " by itself"));
            if (restarts) {
                pause(500);
                start();
            }
        }

        void kill() {
            signalled = true;
            log("SIGKILL to " + name + " " + role);
            process.destroyForcibly();
        }

        void terminate() {
            signalled = true;
            log("SIGTERM to " + name + " " + role);
            process.destroy();
        }

        void freeze() {
            log("SIGSTOP to " + name + " " + role);
            signal("STOP");
        }

        void thaw() {
            log("SIGCONT to " + name + " " + role);
            signal("CONT");
        }

        private void signal(String signal) {
            try {
                new ProcessBuilder("sh", "-c", "kill -" + signal + " " + process.pid())
                        .start()
                        .waitFor();
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            } catch (InterruptedException e) {
                throw new IllegalStateException(e);
            }
        }
    }

    Rig(Path recordFile) throws IOException {
        Random random = new Random();
        ServerSocket claim = null;
        String found = null;
        for (int i = 0; claim == null && i < 200; i++) {
            found = "127." + (1 + random.nextInt(249)) + "." + (1 + random.nextInt(249)) + ".";
            try {
                claim = new ServerSocket();
                claim.bind(new InetSocketAddress(found + "254", CLAIM_PORT));
            } catch (IOException e) {
                claim = null;
            }
        }
        if (claim == null) {
            throw new IOException("no free loopback network");
        }
        mClaim = claim;
        prefix = found;
        linkPort = FIRST_PORT;
        callerPort = FIRST_PORT + 2;
        readyPort = FIRST_PORT + 3;
        controlPort = FIRST_PORT + 4;
        peerPort = FIRST_PORT + 5;
        folder = Files.createTempDirectory("review2-");
        mRecord = new PrintWriter(Files.newBufferedWriter(recordFile), true);
        mCommands = commands(Path.of("deploy/system.toml"));
        Runtime.getRuntime().addShutdownHook(new Thread(this::endAll));
    }

    private static Map<String, List<String>> commands(Path file) throws IOException {
        Map<String, List<String>> commands = new LinkedHashMap<>();
        Matcher matcher =
                Pattern.compile("\\[roles\\.(\\w+)\\]\\s+run = \"([^\"]+)\"")
                        .matcher(Files.readString(file));
        while (matcher.find()) {
            commands.put(matcher.group(1), List.of(matcher.group(2).split(" ")));
        }
        return commands;
    }

    private String settings(Proc proc, Path data, boolean bootstrap) {
        List<String> seeds =
                mSeedIps.stream().map(ip -> "\"" + ip + ":" + controlPort + "\"").toList();
        boolean entry = proc.role.equals("entry");
        String listen =
                entry
                        ? "frontend = \""
                                + proc.ip
                                + ":"
                                + callerPort
                                + "\"\nreadiness = \""
                                + proc.ip
                                + ":"
                                + readyPort
                                + "\""
                        : proc.role.equals("control")
                                ? "control = \"" + proc.ip + ":" + controlPort + "\""
                                : "";
        return String.join(
                "\n",
                "node-name = \"" + proc.name + "\"",
                "role = \"" + proc.role + "\"",
                "machine-class = \"" + (entry ? "frontend" : "core") + "\"",
                "ip = \"" + proc.ip + "\"",
                "zone = \"" + proc.zone + "\"",
                "region = \"amman\"",
                "internal-ports = [" + linkPort + "," + (linkPort + 1) + "]",
                "seeds = [" + String.join(",", seeds) + "]",
                "bootstrap = " + bootstrap,
                "in-fault-budget = " + !entry,
                entry ? "" : "data-dir = \"" + data + "\"",
                "discovery = \"registry\"",
                "entry = \"vip\"",
                "heartbeat-ms = 1200",
                "config_mode = \"highest\"",
                "[listen]",
                listen,
                "[limits]",
                "cpu-share = " + (entry ? "0.75" : "0.45"),
                "cores = 1",
                "memory-mb = " + (entry ? "430" : "426"),
                "max-fds = 4300",
                "link-mbps = 1000.0",
                "disk-mb = " + (entry ? "0" : "128"),
                "[fault-tolerance]",
                "machines = 1",
                "zones = 1",
                "[bounds]",
                "stability-ms = 4000",
                "ack-timeout-ms = 5000",
                "drain-ms = 7000",
                "grace-s = 6",
                "config-apply-ms = 3000",
                "evacuate-ms = 5000",
                "fencing-required = true",
                "[cloud-api]",
                "address = \"" + ip(253) + ":" + peerPort + "\"",
                "rate-per-s = 50.0",
                "duties = [\"promotion\"]",
                "duty-per-s = 50.0",
                "");
    }

    String ip(int last) {
        return prefix + last;
    }

    /** Starts control hosts and leaseholders in zones z1.., and entry hosts. */
    void startAll(int cores, int entries, boolean restarts) {
        for (int i = 1; i <= cores; i++) {
            mSeedIps.add(ip(100 + i));
        }
        while (mSeedIps.size() > 3) {
            mSeedIps.remove(mSeedIps.size() - 1);
        }
        for (int i = 1; i <= cores; i++) {
            procs.add(new Proc("core-" + i, "control", ip(100 + i), zone(i), restarts));
            procs.add(new Proc("core-" + i, "leaseholder", ip(100 + i), zone(i), restarts));
        }
        for (int i = 1; i <= entries; i++) {
            procs.add(new Proc("front-" + i, "entry", ip(10 + i), zone(i), restarts));
        }
        procs.forEach(Proc::start);
    }

    static String zone(int number) {
        return "z" + ((number - 1) % 3 + 1);
    }

    List<Proc> role(String role) {
        return procs.stream().filter(p -> p.role.equals(role)).toList();
    }

    /** Returns the zone of the machine with an address. */
    String zoneOf(String ip) {
        return procs.stream().filter(p -> p.ip.equals(ip)).map(p -> p.zone).findFirst().orElse("-");
    }

    synchronized void log(String text) {
        mRecord.println(String.format(Locale.ROOT, "%9.3f %s", seconds(), text));
    }

    double seconds() {
        return (System.nanoTime() - mStartNanos) / 1e9;
    }

    static void pause(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    boolean closed() {
        return mClosed;
    }

    static void background(Runnable task) {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        thread.start();
    }

    /** An HTTP response; status 0 if there was none. */
    record Response(int status, String body, String location) {
        boolean ok() {
            return status == HTTP_OK;
        }
    }

    /** Sends one request and follows up to two redirects, as the operator does. */
    Response call(String ip, int port, String method, String path, String body, int millis) {
        String host = ip;
        int at = port;
        for (int hop = 0; ; hop++) {
            Response response = once(host, at, method, path, body, millis);
            if (response.status() != 307 || hop == 2) {
                return response;
            }
            Matcher matcher =
                    Pattern.compile("http://([0-9.]+):(\\d+)/.*").matcher(response.location());
            if (!matcher.matches()) {
                return response;
            }
            host = matcher.group(1);
            at = Integer.parseInt(matcher.group(2));
        }
    }

    /** Sends one request and follows no redirect. */
    Response hop(String ip, int port, String method, String path) {
        return once(ip, port, method, path, "", 1_000);
    }

    private Response once(
            String ip, int port, String method, String path, String body, int millis) {
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(ip, port), millis);
            socket.setSoTimeout(millis);
            byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
            String head =
                    method
                            + " "
                            + path
                            + " HTTP/1.1\r\nHost: "
                            + ip
                            + ":"
                            + port
                            + "\r\n"
                            + (body.isEmpty() ? "" : "Content-Type: application/json\r\n")
                            + "Content-Length: "
                            + bytes.length
                            + "\r\nConnection: close\r\n\r\n";
            OutputStream out = socket.getOutputStream();
            out.write(head.getBytes(StandardCharsets.UTF_8));
            out.write(bytes);
            out.flush();
            String text =
                    new String(readAll(socket.getInputStream()), StandardCharsets.UTF_8);
            Matcher status = Pattern.compile("HTTP/1.1 (\\d+)").matcher(text);
            Matcher location =
                    Pattern.compile("(?i)\r\nlocation: (\\S+)").matcher(text);
            int split = text.indexOf("\r\n\r\n");
            return new Response(
                    status.lookingAt() ? Integer.parseInt(status.group(1)) : 0,
                    split < 0 ? "" : text.substring(split + 4),
                    location.find() ? location.group(1) : "");
        } catch (IOException e) {
            return new Response(0, "", "");
        }
    }

    private static byte[] readAll(InputStream in) throws IOException {
        return in.readAllBytes();
    }

    /** Sends an order until a control host acknowledges it; returns the time, or -1. */
    double order(String method, String path, String body, double limitSeconds) {
        return order(method, path, body, limitSeconds, role("control"));
    }

    double order(
            String method, String path, String body, double limitSeconds, List<Proc> hosts) {
        double until = seconds() + limitSeconds;
        for (int n = 0; seconds() < until; n++) {
            Proc host = hosts.get(n % hosts.size());
            Response response = call(host.ip, controlPort, method, path, body, 1_000);
            log(
                    "operator: "
                            + method
                            + " "
                            + path
                            + " to "
                            + host.name
                            + ": "
                            + (response.status() == 0 ? "no response" : response.status()));
            if (response.ok()) {
                return seconds();
            }
            pause(200);
        }
        return -1;
    }

    /** Returns the process that holds the only lease, by the programs' own metrics. */
    Proc leaseholder() {
        return procs.stream()
                .filter(p -> !p.role.equals("control"))
                .filter(
                        p ->
                                call(
                                                p.ip,
                                                p.role.equals("entry") ? 9464 : 9465,
                                                "GET",
                                                "/metrics",
                                                "",
                                                1_000)
                                        .body()
                                        .lines()
                                        .anyMatch(l -> l.matches("crocusturn_group_leases 1(\\.0)?")))
                .findFirst()
                .orElseThrow(() -> new IllegalStateException("no process holds the lease"));
    }

    /** Waits until all entry hosts report ready. */
    boolean awaitReady(double limitSeconds) {
        double until = seconds() + limitSeconds;
        while (seconds() < until) {
            boolean ready =
                    role("entry").stream()
                            .allMatch(
                                    p -> call(p.ip, readyPort, "GET", "/readyz", "", 1_000).ok());
            if (ready) {
                return true;
            }
            pause(200);
        }
        return false;
    }

    /** Listens at an address and runs a handler for each connection. */
    ServerSocket serve(String ip, int port, ConnectionHandler handler) throws IOException {
        ServerSocket server = new ServerSocket(port, 200, InetAddress.getByName(ip));
        background(
                () -> {
                    while (!mClosed && !server.isClosed()) {
                        try {
                            Socket socket = server.accept();
                            socket.setTcpNoDelay(true);
                            background(
                                    () -> {
                                        try (socket) {
                                            handler.handle(socket);
                                        } catch (IOException | RuntimeException e) {
                                            // The far end went away.
                                        }
                                    });
                        } catch (IOException e) {
                            return;
                        }
                    }
                });
        return server;
    }

    /** Handles one connection. */
    interface ConnectionHandler {
        void handle(Socket socket) throws IOException;
    }

    static InputStream input(Socket socket) throws IOException {
        return new BufferedInputStream(socket.getInputStream(), 1 << 16);
    }

    static BufferedReader reader(Socket socket) throws IOException {
        return new BufferedReader(
                new InputStreamReader(socket.getInputStream(), StandardCharsets.ISO_8859_1),
                1 << 16);
    }

    /** Reads a line that ends with CR LF, as the wire's page says; null at the end of the input. */
    static String readLine(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        int previous = -1;
        for (int next = in.read(); next >= 0; next = in.read()) {
            if (previous == '\r' && next == '\n') {
                byte[] bytes = line.toByteArray();
                return new String(bytes, 0, bytes.length - 1, StandardCharsets.ISO_8859_1);
            }
            line.write(next);
            previous = next;
        }
        return null;
    }

    private void endAll() {
        mClosed = true;
        procs.stream()
                .map(p -> p.process)
                .filter(p -> p != null)
                .forEach(Process::destroyForcibly);
        procs.stream()
                .map(p -> p.process)
                .filter(p -> p != null)
                .forEach(
                        p -> {
                            try {
                                p.waitFor();
                            } catch (InterruptedException e) {
                                Thread.currentThread().interrupt();
                            }
                        });
        if (System.getenv("KEEP") == null) {
            try (Stream<Path> files = Files.walk(folder)) {
                files.sorted(Comparator.reverseOrder()).forEach(f -> f.toFile().delete());
            } catch (IOException | UncheckedIOException e) {
                // Only temporary files remain.
            }
        }
    }

    @Override
    public void close() throws IOException {
        endAll();
        mClaim.close();
        mRecord.close();
    }
}
