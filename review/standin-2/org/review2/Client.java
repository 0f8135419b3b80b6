package org.review2;

import java.io.BufferedReader;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicLong;

/** A client session. */
final class Client implements AutoCloseable {
    private static final AtomicLong NEXT_ID = new AtomicLong(1);

    private final Socket mSocket = new Socket();
    private final BufferedReader mIn;

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
        mIn = Rig.reader(mSocket);
        send("START " + database + " " + key + "\r\n");
        String line = mIn.readLine();
        if (line == null || !line.startsWith("READY")) {
            mSocket.close();
            throw new IOException("START was answered with " + line);
        }
    }

    private void send(String text) throws IOException {
        mSocket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
        mSocket.getOutputStream().flush();
    }

    Answer query(String text) throws IOException {
        String id = String.format("%016x", 0xc0de_0000_0000L + NEXT_ID.getAndIncrement());
        send("QUERY " + id + " " + text + "\r\n");
        String result = "";
        while (true) {
            String line = mIn.readLine();
            if (line == null) {
                throw new IOException("the connection was closed");
            }
            if (line.startsWith("READY")) {
                return new Answer(id, result, line.split(" ")[1]);
            }
            if (!line.startsWith("ROW")) {
                result = line;
            }
        }
    }

    @Override
    public void close() throws IOException {
        mSocket.close();
    }
}
