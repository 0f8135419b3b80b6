package org.review2;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** The databases of one service, their heartbeats, and the platform's promotion call. */
final class Fleet {
    private final Rig mRig;
    final String service;
    final List<Db> dbs = new ArrayList<>();
    final List<Run> runs = new CopyOnWriteArrayList<>();
    final List<Promotion> promotions = new CopyOnWriteArrayList<>();
    long workMillis = 2;

    /** Item whose reads are answered with many rows. */
    String longItem = "";

    int longRows;
    private final int mSlots;
    private final Map<String, Long> mHighestFence = new TreeMap<>();
    private long mTerm = 1;
    private Db mPrimary;

    /** A statement with an id of a client that a database ran. */
    record Run(double at, Db db, String from, String tenant, String id, String text, boolean inTx) {}

    /** A call of the platform's interface. */
    record Promotion(
            double at, String from, String holder, long fence, String service, String id, int status) {}

    /** One database. */
    final class Db {
        final String id;
        final String ip;
        final String zone;
        final long born = System.currentTimeMillis();
        final List<String> log = new ArrayList<>();
        final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
        volatile boolean up = true;
        volatile String state = "ready";
        volatile boolean beats = true;
        volatile boolean deaf;
        volatile boolean retired;
        volatile double lastBeat;
        long term = 1;
        long held;
        private int mSequence;
        private ServerSocket mServer;

        Db(String id, String ip, String zone) {
            this.id = id;
            this.ip = ip;
            this.zone = zone;
        }

        String position() {
            return term + "." + log.size();
        }

        String status() {
            return (this == mPrimary ? "primary" : "replica")
                    + " "
                    + term
                    + " "
                    + position()
                    + " "
                    + held
                    + " 0 0 "
                    + sockets.size();
        }

        String beat() {
            mSequence++;
            return String.format(
                            "{'service':'%s','address':'%s:%d','zone':'%s','version':'v1',"
                                    + "'slots':%d,'state':'%s','cold-remaining-ms':0,"
                                    + "'db-role':'%s','seq-no':%d,'born':%d}",
                            service,
                            ip,
                            mRig.peerPort,
                            zone,
                            mSlots,
                            state,
                            this == mPrimary ? "primary" : "replica",
                            mSequence,
                            born)
                    .replace('\'', '"');
        }

        /** The process is killed: its connections are reset, its log remains. */
        void crash() throws IOException {
            mRig.log("database " + id + " crashes");
            up = false;
            mServer.close();
            for (Socket socket : sockets) {
                socket.setSoLinger(true, 0);
                socket.close();
            }
        }

        @Override
        public String toString() {
            return id + " in " + zone;
        }
    }

    /** Creates databases in zones z1.. that listen at addresses from the given last byte on. */
    Fleet(Rig rig, String service, int count, int slots, int firstAddress) throws IOException {
        mRig = rig;
        this.service = service;
        mSlots = slots;
        for (int i = 1; i <= count; i++) {
            Db db = new Db("i-" + service + i, rig.ip(firstAddress + i), Rig.zone(i));
            dbs.add(db);
            db.mServer = rig.serve(db.ip, rig.peerPort, socket -> new Session(db, socket).serve());
        }
        mPrimary = dbs.get(0);
    }

    /** Starts a crashed database again under its id; it holds nothing of before. */
    synchronized Db startEmpty(Db old) throws IOException {
        Db db = new Db(old.id, old.ip, old.zone);
        dbs.set(dbs.indexOf(old), db);
        old.retired = true;
        db.mServer = mRig.serve(db.ip, mRig.peerPort, socket -> new Session(db, socket).serve());
        mRig.log("database " + db + " starts again and holds nothing of before");
        announce(db);
        return db;
    }

    /** Starts a crashed database again with its log; it follows if another one leads by now. */
    synchronized void startWithLog(Db db) throws IOException {
        db.mServer = mRig.serve(db.ip, mRig.peerPort, socket -> new Session(db, socket).serve());
        db.up = true;
        mRig.log(
                "database "
                        + db
                        + " comes back with its log, at "
                        + db.position()
                        + (db == mPrimary ? ", and leads" : ", as a replica"));
        if (db != mPrimary) {
            follow(db);
        }
        notifyAll();
    }

    Db primary() {
        return mPrimary;
    }

    /** Starts the heartbeats, each acknowledged by one of the control hosts. */
    void announce() {
        dbs.forEach(this::announce);
    }

    /** Starts the heartbeats of one database. */
    void announce(Db db) {
        Rig.background(() -> beat(db));
    }

    private void beat(Db db) {
        int host = 0;
        List<Rig.Proc> hosts = mRig.role("control");
        double next = mRig.seconds();
        while (!mRig.closed() && !db.retired) {
            boolean done = true;
            db.lastBeat = mRig.seconds();
            if (db.up && db.beats) {
                done =
                        mRig.call(
                                        hosts.get(host % hosts.size()).ip,
                                        mRig.controlPort,
                                        "PUT",
                                        "/instances/" + db.id,
                                        db.beat(),
                                        1_000)
                                .ok();
                host += done ? 0 : 1;
            }
            next = done ? Math.max(next + 1.2, mRig.seconds()) : mRig.seconds() + 0.1;
            Rig.pause(Math.round((next - mRig.seconds()) * 1_000));
        }
    }

    private synchronized boolean commit(Db db, String id, List<String> writes)
            throws InterruptedException {
        long until = System.nanoTime() + 3_000_000_000L;
        while (db == mPrimary
                && dbs.stream().noneMatch(d -> d != db && d.up && d.held == 0 && !d.deaf)) {
            long rest = (until - System.nanoTime()) / 1_000_000;
            if (rest <= 0) {
                return false;
            }
            wait(rest);
        }
        if (db != mPrimary) {
            return false;
        }
        db.log.add(id);
        dbs.stream().filter(d -> d != db && d.up && d.held == 0 && !d.deaf).forEach(this::follow);
        return true;
    }

    private void follow(Db db) {
        db.log.clear();
        db.log.addAll(mPrimary.log);
        db.term = mTerm;
    }

    private synchronized void promote(Db db) {
        if (db == mPrimary) {
            return;
        }
        mTerm++;
        mPrimary = db;
        db.term = mTerm;
        db.held = 0;
        dbs.stream().filter(d -> d.up && !d.deaf).forEach(d -> d.held = 0);
        dbs.stream().filter(d -> d != db && d.up && !d.deaf).forEach(this::follow);
        mRig.log("database " + db + " leads term " + mTerm + " at " + db.position());
        notifyAll();
    }

    /** Serves the platform's interface for these services. */
    static void servePlatform(Rig rig, List<Fleet> fleets) throws IOException {
        rig.serve(
                rig.ip(253),
                rig.peerPort,
                socket -> {
                    BufferedReader in = Rig.reader(socket);
                    String line = in.readLine();
                    String holder = "";
                    long fence = 0;
                    int length = 0;
                    for (String h = in.readLine(); h != null && !h.isEmpty(); h = in.readLine()) {
                        String[] parts = h.split(":", 2);
                        switch (parts[0].toLowerCase()) {
                            case "lease-holder" -> holder = parts[1].trim();
                            case "fencing-token" -> fence = Long.parseLong(parts[1].trim());
                            case "content-length" -> length = Integer.parseInt(parts[1].trim());
                            default -> {}
                        }
                    }
                    char[] body = new char[length];
                    int read = 0;
                    while (read < length) {
                        read += in.read(body, read, length - read);
                    }
                    String text = new String(body);
                    String service = field(text, "service");
                    String id = field(text, "id");
                    Fleet fleet =
                            fleets.stream()
                                    .filter(f -> f.service.equals(service))
                                    .findFirst()
                                    .orElseThrow();
                    String from = socket.getInetAddress().getHostAddress();
                    int status = fleet.order(line, from, holder, fence, id);
                    socket.getOutputStream()
                            .write(
                                    ("HTTP/1.1 "
                                                    + status
                                                    + " X\r\nContent-Length: 2\r\n"
                                                    + "Content-Type: application/json\r\n\r\n{}")
                                            .getBytes(StandardCharsets.UTF_8));
                });
    }

    private static String field(String json, String name) {
        Matcher matcher = Pattern.compile("\"" + name + "\"\\s*:\\s*\"([^\"]*)\"").matcher(json);
        return matcher.find() ? matcher.group(1) : "";
    }

    private int order(String line, String from, String holder, long fence, String id) {
        int status;
        Db db = dbs.stream().filter(d -> d.id.equals(id)).findFirst().orElse(null);
        synchronized (this) {
            boolean stale = fence < mHighestFence.getOrDefault(service, 0L);
            mHighestFence.merge(service, fence, Math::max);
            status = stale || db == null || !db.up ? 409 : 200;
            promotions.add(
                    new Promotion(mRig.seconds(), from, holder, fence, service, id, status));
        }
        mRig.log(
                "platform: "
                        + line
                        + " holder "
                        + holder
                        + " from "
                        + from
                        + " token "
                        + fence
                        + " "
                        + service
                        + " "
                        + id
                        + ": "
                        + status);
        if (status == 200 && db != mPrimary) {
            Rig.background(
                    () -> {
                        Rig.pause(600);
                        promote(db);
                    });
        }
        return status;
    }

    /** A connection to a database. */
    private final class Session {
        private final Db mDb;
        private final Socket mSocket;
        private final Set<String> mNames = new HashSet<>();
        private final List<String> mWrites = new ArrayList<>();
        private String mTenant = "";
        private char mState = 'I';
        private boolean mReadOnly;

        Session(Db db, Socket socket) {
            mDb = db;
            mSocket = socket;
        }

        void serve() throws IOException {
            mDb.sockets.add(mSocket);
            try {
                InputStream in = Rig.input(mSocket);
                OutputStream out = mSocket.getOutputStream();
                String line = Rig.readLine(in);
                String[] start = line == null ? new String[0] : line.split(" ");
                if (start.length < 3 || !start[1].equals(service)) {
                    write(out, "ERR WRONGNODE " + mDb.id + "\r\n");
                    return;
                }
                if (start.length > 3 && !start[3].equals(mDb.id)) {
                    write(out, "ERR WRONGNODE " + mDb.id + "\r\n");
                    return;
                }
                mTenant = start[2];
                Rig.pause(5);
                write(out, ready());
                for (line = Rig.readLine(in); line != null; line = Rig.readLine(in)) {
                    String[] fields = line.split(" ", 3);
                    if (fields[0].equals("BYE")) {
                        return;
                    }
                    write(out, answer(fields[1], fields[2]));
                }
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            } finally {
                mDb.sockets.remove(mSocket);
            }
        }

        private void write(OutputStream out, String text) throws IOException {
            out.write(text.getBytes(StandardCharsets.ISO_8859_1));
            out.flush();
        }

        private String ready() {
            synchronized (Fleet.this) {
                return "READY " + mState + " " + mDb.position() + "\r\n";
            }
        }

        private String done(String signature) {
            return "DONE " + signature + "\r\n" + ready();
        }

        private String error(String code) {
            if (mState == 'T') {
                mState = 'E';
            }
            return "ERR " + code + " " + mDb.id + "\r\n" + ready();
        }

        private String status() {
            synchronized (Fleet.this) {
                return "ROW " + mDb.status() + "\r\n" + done("-");
            }
        }

        private String answer(String id, String whole) throws InterruptedException {
            String text = whole;
            if (text.startsWith("WAITPOS ")) {
                String[] parts = text.split(" ", 3);
                String[] needed = parts[1].split("\\.");
                long term = Long.parseLong(needed[0]);
                long number = Long.parseLong(needed[1]);
                synchronized (Fleet.this) {
                    boolean lacks =
                            mDb.term < term || mDb.term == term && mDb.log.size() < number;
                    if (lacks) {
                        return error("LAGGING");
                    }
                }
                text = parts[2];
            }
            String[] words = text.split(" ");
            if (mState == 'E' && !words[0].equals("ROLLBACK") && !words[0].equals("COMMIT")) {
                return error("MALFORMED");
            }
            switch (words[0]) {
                case "STATUS":
                    return status();
                case "PAUSE":
                    synchronized (Fleet.this) {
                        if (mDb != mPrimary && Long.parseLong(words[1]) > mTerm) {
                            mDb.held = Long.parseLong(words[1]);
                        }
                    }
                    return status();
                case "UNPAUSE":
                    synchronized (Fleet.this) {
                        mDb.held = 0;
                        if (mDb != mPrimary && !mDb.deaf) {
                            follow(mDb);
                        }
                        Fleet.this.notifyAll();
                    }
                    return status();
                case "STEPDOWN":
                    return status();
                case "BEGIN":
                    mReadOnly = words.length > 1;
                    if (!mReadOnly && mDb != mPrimary) {
                        return error("READONLY");
                    }
                    mState = 'T';
                    mWrites.clear();
                    return done("-");
                case "ROLLBACK":
                    mState = 'I';
                    return done("-");
                case "SET":
                    return done("-");
                case "DISCARD":
                    mNames.clear();
                    return done("-");
                case "PREPARE":
                    mNames.add(words[1]);
                    return done("-");
                case "DEALLOC":
                    mNames.remove(words[1]);
                    return done("-");
                case "COMMIT":
                    return commit(id, text);
                case "READ":
                    return work(id, text, false);
                case "WRITE":
                    return work(id, text, true);
                case "EXEC":
                    return mNames.contains(words[1])
                            ? work(id, text, words.length > 3)
                            : error("NOSTMT");
                default:
                    return error("MALFORMED");
            }
        }

        private String commit(String id, String text) throws InterruptedException {
            boolean failed = mState == 'E';
            mState = 'I';
            if (failed) {
                return done("-");
            }
            if (!mWrites.isEmpty() && !Fleet.this.commit(mDb, id, mWrites)) {
                return error("READONLY");
            }
            record(id, text, true);
            return done(mDb.id + "." + id);
        }

        private String work(String id, String text, boolean writes) throws InterruptedException {
            boolean inTransaction = mState == 'T';
            boolean needsLead = inTransaction ? !mReadOnly : writes;
            if (needsLead && mDb != mPrimary || inTransaction && mReadOnly && writes) {
                return error("READONLY");
            }
            record(id, text, inTransaction);
            Rig.pause(workMillis);
            if (writes && inTransaction) {
                mWrites.add(id);
            } else if (writes && !Fleet.this.commit(mDb, id, List.of(id))) {
                return error("READONLY");
            }
            return (writes ? "" : rows(id, text)) + done(mDb.id + "." + id);
        }

        private String rows(String id, String text) {
            return text.equals("READ " + longItem)
                    ? ("ROW " + "r".repeat(1_000) + "\r\n").repeat(longRows)
                    : "ROW row-" + id + "\r\n";
        }

        private void record(String id, String text, boolean inTransaction) {
            runs.add(
                    new Run(
                            mRig.seconds(),
                            mDb,
                            mSocket.getInetAddress().getHostAddress(),
                            mTenant,
                            id,
                            text.length() > 60 ? text.substring(0, 60) : text,
                            inTransaction));
        }
    }
}
