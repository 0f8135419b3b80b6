package org.review;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** Stand-in of one database of a service. All state is guarded by the lock of its service. */
final class Db {
    final Service service;
    final String id;
    final String ip;
    final int port;
    final String zone;
    final List<Service.Entry> log = new ArrayList<>();
    final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
    ServerSocket server;
    volatile boolean running;
    volatile boolean draining;
    volatile boolean drainAcked;
    volatile long drainAckedAt;
    volatile long lastBeat;
    boolean primary;
    long term = 1;
    long knownTerm = 1;
    boolean paused;
    boolean deaf;
    long seq;
    long born = System.currentTimeMillis();

    Db(Service service, String id, String ip, int port, String zone) {
        this.service = service;
        this.id = id;
        this.ip = ip;
        this.port = port;
        this.zone = zone;
    }

    synchronized void start() throws IOException {
        ServerSocket socket = new ServerSocket();
        socket.setReuseAddress(true);
        socket.bind(new InetSocketAddress(InetAddress.getByName(ip), port), 256);
        server = socket;
        running = true;
        Thread thread = new Thread(() -> accept(socket), "db-" + id);
        thread.setDaemon(true);
        thread.start();
    }

    /** Ends the process of the database: its port refuses, its connections are reset. */
    synchronized void stop() throws IOException {
        running = false;
        server.close();
        for (Socket socket : sockets) {
            try {
                socket.setSoLinger(true, 0);
                socket.close();
            } catch (IOException e) {
                service.env.record("closing a connection of " + id + ": " + e);
            }
        }
        sockets.clear();
        synchronized (service) {
            service.notifyAll();
        }
    }

    /** Position of the last entry received. */
    Service.Position received() {
        return log.isEmpty()
                ? new Service.Position(1, 0)
                : log.get(log.size() - 1).position();
    }

    private void accept(ServerSocket socket) {
        while (running && !socket.isClosed()) {
            try {
                Socket connection = socket.accept();
                connection.setTcpNoDelay(true);
                sockets.add(connection);
                Thread thread = new Thread(() -> serve(connection), "conn-" + id);
                thread.setDaemon(true);
                thread.start();
            } catch (IOException e) {
                return;
            }
        }
    }

    /** Reads up to CR LF; the protocol ends a line with both. */
    static String readLine(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        int previous = -1;
        while (true) {
            int c = in.read();
            if (c < 0) {
                return null;
            }
            line.write(c);
            if (c == '\n' && previous == '\r') {
                byte[] bytes = line.toByteArray();
                return new String(bytes, 0, bytes.length - 2, StandardCharsets.ISO_8859_1);
            }
            previous = c;
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            InputStream in = new BufferedInputStream(socket.getInputStream());
            OutputStream out = socket.getOutputStream();
            String start = readLine(in);
            if (start == null) {
                return;
            }
            String[] fields = start.split(" ");
            boolean wrong =
                    fields.length < 3
                            || !fields[0].equals("START")
                            || !fields[1].equals(service.name)
                            || fields.length > 3 && !fields[3].equals(id);
            if (wrong) {
                write(out, "ERR WRONGNODE " + id + "\r\n");
                return;
            }
            Thread.sleep(service.handshakeMillis);
            Connection connection = new Connection(fields[2]);
            write(out, "READY I " + connection.position() + "\r\n");
            String line = readLine(in);
            while (line != null && running) {
                if (line.equals("BYE")) {
                    return;
                }
                String answer = connection.handle(line);
                if (answer == null) {
                    socket.setSoLinger(true, 0);
                    return;
                }
                write(out, answer);
                line = readLine(in);
            }
        } catch (IOException e) {
            // The peer closed the connection, or the database was stopped.
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            sockets.remove(socket);
        }
    }

    private static void write(OutputStream out, String text) throws IOException {
        out.write(text.getBytes(StandardCharsets.ISO_8859_1));
        out.flush();
    }

    /** State of one connection. */
    private final class Connection {
        private final String tenant;
        private final Map<String, String> prepared = new HashMap<>();
        private final List<Service.Write> writes = new ArrayList<>();
        private char state = 'I';
        private boolean readOnly;

        Connection(String tenant) {
            this.tenant = tenant;
        }

        String position() {
            synchronized (service) {
                return received().toString();
            }
        }

        /** Returns the answer, or null if the connection breaks without one. */
        String handle(String line) throws InterruptedException {
            String[] parts = line.split(" ", 3);
            if (parts.length < 3 || !parts[0].equals("QUERY")) {
                return "ERR MALFORMED line\r\nREADY " + state + " " + position() + "\r\n";
            }
            String queryId = parts[1];
            String text = parts[2];
            if (!queryId.equals("-")) {
                service.onRun(this.tenant, id, queryId, text);
                Thread.sleep(service.workMillis);
            }
            if (text.startsWith("WAITPOS ")) {
                String[] wait = text.split(" ", 3);
                if (!service.hasReached(Db.this, Service.Position.parse(wait[1]))) {
                    return error("LAGGING", id);
                }
                text = wait[2];
            }
            return run(queryId, text);
        }

        private String run(String queryId, String text) throws InterruptedException {
            String[] words = text.split(" ", 3);
            if (state == 'E' && !words[0].equals("ROLLBACK") && !words[0].equals("COMMIT")) {
                return error("MALFORMED", "transaction failed");
            }
            switch (words[0]) {
                case "STATUS":
                    return status();
                case "PAUSE":
                    synchronized (service) {
                        long wanted = Long.parseLong(words[1]);
                        if (!primary && wanted > knownTerm) {
                            paused = true;
                        }
                        service.env.record(id + " PAUSE " + wanted + ", received " + received());
                    }
                    return status();
                case "UNPAUSE":
                    synchronized (service) {
                        paused = false;
                    }
                    return status();
                case "STEPDOWN":
                    synchronized (service) {
                        if (primary && term < Long.parseLong(words[1])) {
                            primary = false;
                        }
                    }
                    return status();
                case "DISCARD":
                    prepared.clear();
                    return done("-");
                case "SET":
                    return done("-");
                case "PREPARE":
                    prepared.put(words[1], words[2]);
                    return done("-");
                case "DEALLOC":
                    prepared.remove(words[1]);
                    return done("-");
                case "BEGIN":
                    readOnly = words.length > 1;
                    synchronized (service) {
                        if (!readOnly && !primary) {
                            return error("READONLY", id);
                        }
                    }
                    state = 'T';
                    writes.clear();
                    return done("-");
                case "ROLLBACK":
                    state = 'I';
                    writes.clear();
                    return done("-");
                case "COMMIT":
                    return commit(queryId);
                case "READ":
                    return read(queryId, words[1]);
                case "WRITE":
                    return write(queryId, words[1], words.length > 2 ? words[2] : "");
                case "EXEC":
                    String shape = prepared.get(words[1]);
                    if (shape == null) {
                        return error("NOSTMT", words[1]);
                    }
                    String[] rest = text.split(" ", 4);
                    return shape.startsWith("READ")
                            ? read(queryId, rest[2])
                            : write(queryId, rest[2], rest.length > 3 ? rest[3] : "");
                default:
                    return error("MALFORMED", words[0]);
            }
        }

        private String read(String queryId, String item) {
            synchronized (service) {
                String value = "none";
                for (Service.Entry entry : log) {
                    for (Service.Write write : entry.writes()) {
                        if (write.item().equals(item)) {
                            value = write.data();
                        }
                    }
                }
                return "ROW " + value + "\r\n" + done(service.sign(queryId));
            }
        }

        private String write(String queryId, String item, String data)
                throws InterruptedException {
            synchronized (service) {
                if (!primary || readOnly && state == 'T') {
                    return error("READONLY", id);
                }
            }
            writes.add(new Service.Write(queryId, item, data));
            if (state == 'T') {
                return done(service.sign(queryId));
            }
            return commit(queryId);
        }

        private String commit(String queryId) throws InterruptedException {
            if (state == 'E') {
                state = 'I';
                writes.clear();
                return error("FAILED", "rolled back");
            }
            state = 'I';
            if (writes.isEmpty()) {
                return done(service.sign(queryId));
            }
            List<Service.Write> committed = List.copyOf(writes);
            writes.clear();
            Service.CommitResult result = service.commit(Db.this, committed);
            return switch (result) {
                case DONE -> done(service.sign(queryId));
                case LOST_LEAD -> error("READONLY", id);
                case NO_ANSWER -> null;
            };
        }

        private String status() {
            synchronized (service) {
                return "ROW "
                        + (primary ? "primary" : "replica")
                        + " "
                        + Math.max(term, knownTerm)
                        + " "
                        + received()
                        + " 0 "
                        + (primary ? 0 : service.lagMillis(Db.this))
                        + " 1 "
                        + sockets.size()
                        + "\r\n"
                        + done("-");
            }
        }

        private String done(String signature) {
            return "DONE " + signature + "\r\nREADY " + state + " " + position() + "\r\n";
        }

        private String error(String code, String text) {
            if (state == 'T') {
                state = 'E';
            }
            return "ERR " + code + " " + text + "\r\nREADY " + state + " " + position() + "\r\n";
        }
    }
}
