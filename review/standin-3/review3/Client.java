package review3;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;

/** A session of a client. */
final class Client implements AutoCloseable {
    private static final AtomicLong IDS = new AtomicLong(System.nanoTime() & 0xffffff);
    final Socket socket = new Socket();
    final InputStream in;
    String state = "I";

    /** An answer: its rows, the signature of DONE or the text of ERR, and the state of READY. */
    record Answer(List<String> rows, String done, String error, String state) {
        boolean ok() {
            return error.isEmpty();
        }
    }

    Client(String ip, int port, String database, String key) throws IOException {
        socket.setTcpNoDelay(true);
        socket.connect(new InetSocketAddress(ip, port), 2000);
        socket.setSoTimeout(10000);
        in = new BufferedInputStream(socket.getInputStream(), 16384);
        send("START " + database + " " + key);
        String line = Db.readLine(in);
        if (line == null || !line.startsWith("READY")) {
            socket.close();
            throw new IOException("START: " + line);
        }
    }

    static String newId() {
        return String.format("%016x", IDS.incrementAndGet());
    }

    void send(String line) throws IOException {
        socket.getOutputStream().write((line + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
        socket.getOutputStream().flush();
    }

    Answer query(String text) throws IOException {
        return query(newId(), text);
    }

    Answer query(String id, String text) throws IOException {
        send("QUERY " + id + " " + text);
        return read();
    }

    Answer read() throws IOException {
        List<String> rows = new ArrayList<>();
        String done = "";
        String error = "";
        while (true) {
            String line = Db.readLine(in);
            if (line == null) {
                throw new IOException("the connection ended" + (error.isEmpty() ? "" : " after ERR " + error));
            }
            if (line.startsWith("ROW ")) {
                rows.add(line.substring(4));
            } else if (line.startsWith("DONE ")) {
                done = line.substring(5);
            } else if (line.startsWith("ERR ")) {
                error = line.substring(4);
            } else if (line.startsWith("READY ")) {
                state = line.split(" ")[1];
                return new Answer(rows, done, error, state);
            }
        }
    }

    @Override
    public void close() {
        try {
            socket.close();
        } catch (IOException e) {
            // It is gone already.
        }
    }
}
