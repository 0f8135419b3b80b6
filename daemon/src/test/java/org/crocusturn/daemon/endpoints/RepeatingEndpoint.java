package org.crocusturn.daemon.endpoints;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.handler.codec.http.QueryStringDecoder;
import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Function;
import org.crocusturn.daemon.net.Json;

/** Endpoint that sends the bytes of a test instead of, or in addition to, its answers. */
final class RepeatingEndpoint implements AutoCloseable {
    /**
     * A request that the endpoint received.
     *
     * @param number number of the request among all connections, from 1
     * @param path path without the query
     * @param id the id that the answer has to repeat, if the request has one
     */
    record Received(int number, String path, Optional<String> id) {}

    private final ServerSocket mServer = new ServerSocket(0, 16, InetAddress.getLoopbackAddress());
    private final ExecutorService mThreads = Executors.newCachedThreadPool();
    private final AtomicInteger mReceived = new AtomicInteger();
    private final Function<Received, List<byte[]>> mAnswers;

    /**
     * Starts an endpoint.
     *
     * @param answers returns what is sent after a request; the first element is sent at once, the
     *     others with a pause in between
     */
    RepeatingEndpoint(Function<Received, List<byte[]>> answers) throws IOException {
        mAnswers = answers;
        mThreads.execute(this::acceptAll);
    }

    String address() {
        return mServer.getInetAddress().getHostAddress() + ":" + mServer.getLocalPort();
    }

    int received() {
        return mReceived.get();
    }

    /** Returns the bytes of an answer that repeats the id of the request. */
    static byte[] answer(int status, Received request, ObjectNode body) {
        request.id().ifPresent(id -> body.put("request", id));
        byte[] json = Json.write(body);
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        bytes.writeBytes(
                ("HTTP/1.1 "
                                + status
                                + " -\r\ncontent-type: application/json\r\ncontent-length: "
                                + json.length
                                + "\r\n\r\n")
                        .getBytes(StandardCharsets.US_ASCII));
        bytes.writeBytes(json);
        return bytes.toByteArray();
    }

    @Override
    public void close() throws IOException {
        mServer.close();
        mThreads.shutdownNow();
    }

    private void acceptAll() {
        try {
            while (true) {
                Socket socket = mServer.accept();
                mThreads.execute(() -> serve(socket));
            }
        } catch (IOException e) {
            // The test has ended.
        }
    }

    private void serve(Socket connection) {
        try (Socket socket = connection) {
            socket.setTcpNoDelay(true);
            InputStream in = new BufferedInputStream(socket.getInputStream());
            while (true) {
                Received request = read(in);
                for (byte[] bytes : mAnswers.apply(request)) {
                    socket.getOutputStream().write(bytes);
                    socket.getOutputStream().flush();
                }
            }
        } catch (IOException e) {
            // The client closed the connection, or the test has ended.
        }
    }

    private Received read(InputStream in) throws IOException {
        String[] head = readHead(in).split("\r\n");
        int length =
                java.util.Arrays.stream(head)
                        .filter(line -> line.toLowerCase().startsWith("content-length:"))
                        .mapToInt(line -> Integer.parseInt(line.substring(15).strip()))
                        .findFirst()
                        .orElse(0);
        byte[] body = in.readNBytes(length);
        QueryStringDecoder query = new QueryStringDecoder(head[0].split(" ")[1]);
        JsonNode json = length == 0 ? Json.object() : Json.read(body);
        Optional<String> id =
                Optional.ofNullable(query.parameters().get("request"))
                        .map(values -> values.get(0))
                        .or(() -> Optional.ofNullable(json.path("request").textValue()));
        return new Received(mReceived.incrementAndGet(), query.path(), id);
    }

    private static String readHead(InputStream in) throws IOException {
        ByteArrayOutputStream head = new ByteArrayOutputStream();
        while (!head.toString(StandardCharsets.US_ASCII).endsWith("\r\n\r\n")) {
            int next = in.read();
            if (next < 0) {
                throw new IOException("the connection was closed");
            }
            head.write(next);
        }
        return head.toString(StandardCharsets.US_ASCII);
    }
}
