package org.review;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;

/** Stand-in of a client: one session. */
final class Client implements AutoCloseable {
    /** What a statement was answered with. */
    record Answer(List<String> rows, String signature, String error, char state) {
        boolean ok() {
            return error == null;
        }
    }

    private final Socket socket = new Socket();
    private final InputStream in;

    Client(String ip, int port, String database, String key) throws IOException {
        socket.connect(new InetSocketAddress(ip, port), 2_000);
        socket.setTcpNoDelay(true);
        socket.setSoTimeout(3_000);
        in = new BufferedInputStream(socket.getInputStream());
        send("START " + database + " " + key + "\r\n");
        String line = Db.readLine(in);
        if (line == null || !line.startsWith("READY")) {
            socket.close();
            throw new IOException("START was answered with " + line);
        }
    }

    static String newId() {
        return String.format("%016x", ThreadLocalRandom.current().nextLong());
    }

    void send(String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
        socket.getOutputStream().flush();
    }

    void setTimeout(int millis) throws IOException {
        socket.setSoTimeout(millis);
    }

    Answer query(String id, String text) throws IOException {
        send("QUERY " + id + " " + text + "\r\n");
        return readAnswer();
    }

    /** Reads one answer. */
    Answer readAnswer() throws IOException {
        List<String> rows = new ArrayList<>();
        String signature = "";
        String error = null;
        while (true) {
            String line = Db.readLine(in);
            if (line == null) {
                throw new IOException("the connection was closed");
            }
            if (line.startsWith("ROW ")) {
                rows.add(line.substring(4));
            } else if (line.startsWith("DONE ")) {
                signature = line.substring(5);
            } else if (line.startsWith("ERR ")) {
                error = line.substring(4);
            } else if (line.startsWith("READY ")) {
                return new Answer(rows, signature, error, line.charAt(6));
            } else {
                throw new IOException("unknown line " + line);
            }
        }
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }

    /** Writes single records one after the other until stopped, over new sessions after errors. */
    static final class Writer implements Runnable {
        private final Env env;
        private final int entry;
        private final String database;
        private final int pauseMillis;
        final Map<String, Long> acknowledged;
        volatile boolean stopped;

        Writer(
                Env env,
                int entry,
                String database,
                int pauseMillis,
                Map<String, Long> acknowledged) {
            this.env = env;
            this.entry = entry;
            this.database = database;
            this.pauseMillis = pauseMillis;
            this.acknowledged = acknowledged;
        }

        static Map<String, Long> newMap() {
            return new ConcurrentHashMap<>();
        }

        @Override
        public void run() {
            int number = 0;
            while (!stopped) {
                try (Client client =
                        new Client(
                                env.entryIp(entry), env.frontendPort, database, Env.KEY)) {
                    while (!stopped) {
                        String id = newId();
                        String text = "WRITE w" + entry + " " + id + "." + number++;
                        Answer answer = client.query(id, text);
                        if (answer.ok()) {
                            acknowledged.put(id, System.nanoTime());
                        }
                        env.record(
                                "client "
                                        + entry
                                        + " "
                                        + id
                                        + " "
                                        + text
                                        + " -> "
                                        + (answer.ok() ? "DONE" : "ERR " + answer.error()));
                        Env.sleep(answer.ok() ? pauseMillis : 100);
                    }
                } catch (IOException e) {
                    env.record("client " + entry + " lost its session: " + e.getMessage());
                    Env.sleep(200);
                }
            }
        }
    }
}
