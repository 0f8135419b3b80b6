package org.crocusturn.daemon.net;

import java.io.ByteArrayOutputStream;
import java.io.Closeable;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;

/** HTTP client that sends raw bytes and reads one response at a time. */
final class RawHttpClient implements Closeable {
    private final Socket mSocket = new Socket();

    RawHttpClient(InetSocketAddress address) throws IOException {
        mSocket.setReceiveBufferSize(16_384);
        mSocket.setSoTimeout(20_000);
        mSocket.connect(address);
    }

    void send(String text) throws IOException {
        mSocket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    /** Reads a response and returns its status and body, such as {@code 200 text}. */
    String read() throws IOException {
        String head = readHead();
        int length = 0;
        for (String line : head.split("\r\n")) {
            if (line.toLowerCase(Locale.ROOT).startsWith("content-length: ")) {
                length = Integer.parseInt(line.substring(16));
            }
        }
        byte[] body = mSocket.getInputStream().readNBytes(length);
        String status = head.substring(9, 12);
        return (status + " " + new String(body, StandardCharsets.UTF_8)).strip();
    }

    /** Reads until the end of the stream and returns whether the server closed the connection. */
    boolean readToEnd() throws IOException {
        try {
            return mSocket.getInputStream().readAllBytes().length >= 0;
        } catch (java.net.SocketTimeoutException e) {
            return false;
        } catch (IOException e) {
            return true;
        }
    }

    void reset() throws IOException {
        mSocket.setSoLinger(true, 0);
        mSocket.close();
    }

    @Override
    public void close() throws IOException {
        mSocket.close();
    }

    private String readHead() throws IOException {
        InputStream in = mSocket.getInputStream();
        ByteArrayOutputStream head = new ByteArrayOutputStream();
        while (!head.toString(StandardCharsets.ISO_8859_1).endsWith("\r\n\r\n")) {
            int next = in.read();
            if (next < 0) {
                throw new EOFException("the connection was closed within a response: " + head);
            }
            head.write(next);
        }
        return head.toString(StandardCharsets.ISO_8859_1);
    }
}
