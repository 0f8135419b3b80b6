package review3;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/** A database of the users' pages: the line protocol, slots, a shared log and promotions. */
final class Db {
    static final int LAG_MILLIS = 20;
    static final int QUEUE = 40;

    /** The log of a service; commits are received by all copies at once and applied later. */
    static final class Log {
        final List<Db> copies = new ArrayList<>();
        final List<Long> commitNanos = new ArrayList<>();
        final Map<String, Integer> committed = new ConcurrentHashMap<>();
        long term = 1;
        Db primary;

        synchronized boolean commit(Db db, String id) {
            if (db != primary) {
                return false;
            }
            commitNanos.add(System.nanoTime());
            committed.merge(id, 1, Integer::sum);
            return true;
        }

        synchronized String received() {
            return term + "." + commitNanos.size();
        }

        synchronized int applied(Db db) {
            if (db == primary) {
                return commitNanos.size();
            }
            long latest = System.nanoTime() - TimeUnit.MILLISECONDS.toNanos(LAG_MILLIS);
            int n = commitNanos.size();
            while (n > 0 && commitNanos.get(n - 1) > latest) {
                n--;
            }
            return n;
        }

        synchronized void promote(Db db) {
            if (db != primary) {
                term++;
                primary = db;
            }
        }

        synchronized boolean stepDown(Db db, long newTerm) {
            if (db == primary && term < newTerm) {
                primary = null;
            }
            return true;
        }
    }

    final String id;
    final String service;
    final String zone;
    final int slotCount;
    final int maxConns;
    final Log log;
    final ServerSocket server;
    final Semaphore slots;
    final AtomicInteger connections = new AtomicInteger();
    final AtomicInteger waiting = new AtomicInteger();
    final long born = System.currentTimeMillis();
    final Map<String, Integer> runs = new ConcurrentHashMap<>();
    /** Number of runs by the tenant that START named, and their times. */
    final Map<String, List<Long>> runsByTenant = new ConcurrentHashMap<>();
    private static final AtomicLong RUNS = new AtomicLong();
    volatile long workMillis;
    volatile long handshakeMillis = 27;

    Db(String id, String service, String zone, String ip, int port, int slots, int maxConns,
            long workMillis, Log log) throws IOException {
        this.id = id;
        this.service = service;
        this.zone = zone;
        this.slotCount = slots;
        this.maxConns = maxConns;
        this.workMillis = workMillis;
        this.log = log;
        this.slots = new Semaphore(slots, true);
        this.server = new ServerSocket(port, 256, InetAddress.getByName(ip));
        log.copies.add(this);
        if (log.primary == null) {
            log.primary = this;
        }
        Rig.thread("db-" + id, this::accept);
    }

    String address() {
        return server.getInetAddress().getHostAddress() + ":" + server.getLocalPort();
    }

    boolean isPrimary() {
        return log.primary == this;
    }

    private void accept() throws IOException {
        while (true) {
            Socket socket = server.accept();
            socket.setTcpNoDelay(true);
            Rig.thread("db-conn-" + id, () -> new Conn(socket).serve());
        }
    }

    static String readLine(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        int previous = -1;
        for (int b = in.read(); b >= 0; b = in.read()) {
            if (previous == '\r' && b == '\n') {
                byte[] bytes = line.toByteArray();
                return new String(bytes, 0, bytes.length - 1, StandardCharsets.ISO_8859_1);
            }
            line.write(b);
            previous = b;
        }
        return null;
    }

    /** One connection. */
    private final class Conn {
        private final Socket socket;
        private final Map<String, String> values = new HashMap<>();
        /** Kind of each prepared name; the shapes themselves are not kept. */
        private final Map<String, String> prepared = new HashMap<>();
        private String state = "I";
        private String tenant = "";
        private boolean readOnly;
        private boolean wrote;

        Conn(Socket socket) {
            this.socket = socket;
        }

        void serve() {
            boolean counted = false;
            try (socket) {
                InputStream in = new BufferedInputStream(socket.getInputStream(), 16384);
                OutputStream out = socket.getOutputStream();
                String start = readLine(in);
                if (start == null) {
                    return;
                }
                tenant = start.split(" ").length > 2 ? start.split(" ")[2] : "";
                int open = connections.incrementAndGet();
                counted = true;
                String[] f = start.split(" ");
                String error =
                        f.length < 3 || !f[0].equals("START") ? "MALFORMED"
                                : !f[1].equals(service) || f.length > 3 && !f[3].equals(id)
                                        ? "WRONGNODE"
                                        : open > maxConns ? "CONNLIMIT" : "";
                if (!error.isEmpty()) {
                    send(out, "ERR " + error + " " + id + "\r\n");
                    return;
                }
                occupy(handshakeMillis);
                send(out, ready());
                String line = readLine(in);
                while (line != null && !line.equals("BYE")) {
                    String answer = respond(line);
                    send(out, answer);
                    line = readLine(in);
                }
            } catch (IOException e) {
                // The connection is gone, which rolls back.
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            } finally {
                if (counted) {
                    connections.decrementAndGet();
                }
            }
        }

        private void send(OutputStream out, String text) throws IOException {
            out.write(text.getBytes(StandardCharsets.ISO_8859_1));
            out.flush();
        }

        private boolean occupy(long millis) throws InterruptedException {
            if (waiting.incrementAndGet() > QUEUE) {
                waiting.decrementAndGet();
                return false;
            }
            try {
                slots.acquire();
            } finally {
                waiting.decrementAndGet();
            }
            try {
                Thread.sleep(millis);
            } finally {
                slots.release();
            }
            return true;
        }

        private String ready() {
            synchronized (log) {
                return "READY " + state + " " + log.term + "." + log.applied(Db.this) + "\r\n";
            }
        }

        private String done(String signature) {
            return "DONE " + signature + "\r\n" + ready();
        }

        private String error(String code) {
            if (state.equals("T")) {
                state = "E";
            }
            return "ERR " + code + " " + id + "\r\n" + ready();
        }

        private String statusRow() {
            synchronized (log) {
                return "ROW " + (isPrimary() ? "primary" : "replica") + " " + log.term + " "
                        + log.received() + " 0 0 " + (slotCount - slots.availablePermits()) + " "
                        + connections.get() + "\r\n";
            }
        }

        private String respond(String line) throws InterruptedException {
            String[] f = line.split(" ", 3);
            if (f.length < 3 || !f[0].equals("QUERY")) {
                return error("MALFORMED");
            }
            String text = f[2];
            if (text.startsWith("WAITPOS ")) {
                String[] p = text.split(" ", 3);
                String[] pos = p[1].split("\\.");
                int needed = Integer.parseInt(pos[1]);
                long until = System.nanoTime() + 200_000_000L;
                while (log.applied(Db.this) < needed) {
                    if (System.nanoTime() > until) {
                        return error("LAGGING");
                    }
                    Thread.sleep(1);
                }
                text = p[2];
            }
            String[] w = text.split(" ", 3);
            if (state.equals("E") && !w[0].equals("ROLLBACK") && !w[0].equals("COMMIT")) {
                return error("MALFORMED");
            }
            switch (w[0]) {
                case "STATUS":
                    return occupy(1) ? statusRow() + done("-") : error("BUSY");
                case "PAUSE":
                case "UNPAUSE":
                    return statusRow() + done("-");
                case "STEPDOWN":
                    log.stepDown(Db.this, Long.parseLong(w[1]));
                    return statusRow() + done("-");
                case "DISCARD":
                    values.clear();
                    prepared.clear();
                    return done("-");
                case "SET":
                    values.put(w[1], w[2]);
                    return done("-");
                case "PREPARE":
                    prepared.put(w[1], w[2].startsWith("WRITE ") ? "WRITE" : "READ");
                    return done("-");
                case "DEALLOC":
                    prepared.remove(w[1]);
                    return done("-");
                case "BEGIN":
                    if (state.equals("T")) {
                        return error("MALFORMED");
                    }
                    readOnly = w.length > 1;
                    if (!readOnly && !isPrimary()) {
                        return error("READONLY");
                    }
                    state = "T";
                    wrote = false;
                    return done("-");
                case "ROLLBACK":
                    state = "I";
                    return done("-");
                case "COMMIT":
                    if (state.equals("E")) {
                        state = "I";
                        return done("-");
                    }
                    if (!occupy(workMillis)) {
                        return error("BUSY");
                    }
                    state = "I";
                    return ran(f[1], wrote, false);
                case "READ":
                    return occupy(workMillis) ? ran(f[1], false, true) : error("BUSY");
                case "WRITE":
                    return write(f[1]);
                case "EXEC":
                    String kind = prepared.get(w[1]);
                    if (kind == null) {
                        return error("NOSTMT");
                    }
                    if (kind.equals("WRITE")) {
                        return write(f[1]);
                    }
                    return occupy(workMillis) ? ran(f[1], false, true) : error("BUSY");
                default:
                    return error("MALFORMED");
            }
        }

        private String write(String statement) throws InterruptedException {
            if (!isPrimary() || state.equals("T") && readOnly) {
                return error("READONLY");
            }
            if (!occupy(workMillis)) {
                return error("BUSY");
            }
            if (state.equals("T")) {
                wrote = true;
                return ran(statement, false, false);
            }
            return ran(statement, true, false);
        }

        private String ran(String statement, boolean commits, boolean row) {
            runs.merge(statement, 1, Integer::sum);
            List<Long> times = runsByTenant.computeIfAbsent(tenant, t -> new ArrayList<>());
            synchronized (times) {
                times.add(System.nanoTime());
            }
            if (commits && !log.commit(Db.this, statement)) {
                return error("READONLY");
            }
            String rows = row ? "ROW row-of-" + statement + "\r\n" : "";
            return rows + done(id + "." + Long.toHexString(RUNS.incrementAndGet()) + "." + statement);
        }
    }
}
