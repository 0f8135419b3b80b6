package org.review2;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;

/** A client session. */
final class Client implements AutoCloseable {
    private static final AtomicLong NEXT_ID = new AtomicLong(1);

    private final Socket mSocket = new Socket();
    private final InputStream mIn;

    /** Rows of the last answer. */
    final List<String> rows = new ArrayList<>();

    /** Answer to a statement: DONE or ERR line, and the state. */
    record Answer(String id, String result, String state) {
        boolean ok() {
            return result.startsWith("DONE");
        }
    }

    Client(Rig rig, String ip, String database, String key) throws IOException {
        mSocket.setTcpNoDelay(true);
        mSocket.connect(new InetSocketAddress(ip, rig.callerPort), 2_000);
        mSocket.setSoTimeout(5_000);
        mIn = Rig.input(mSocket);
        send("START " + database + " " + key + "\r\n");
        String line = Rig.readLine(mIn);
        if (line == null || !line.startsWith("READY")) {
            mSocket.close();
            throw new IOException("START was answered with " + line);
        }
    }

    private void send(String text) throws IOException {
        mSocket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
        mSocket.getOutputStream().flush();
    }

    static String newId() {
        return String.format("%016x", 0xc0de_0000_0000L + NEXT_ID.getAndIncrement());
    }

    Answer query(String text) throws IOException {
        return query(newId(), text);
    }

    Answer query(String id, String text) throws IOException {
        rows.clear();
        send("QUERY " + id + " " + text + "\r\n");
        String result = "";
        while (true) {
            String line = Rig.readLine(mIn);
            if (line == null) {
                throw new IOException("the connection was closed");
            }
            if (line.startsWith("READY")) {
                return new Answer(id, result, line.split(" ")[1]);
            }
            if (line.startsWith("ROW ")) {
                rows.add(line.substring(4));
            } else {
                result = line;
            }
        }
    }

    @Override
    public void close() throws IOException {
        mSocket.close();
    }
}
