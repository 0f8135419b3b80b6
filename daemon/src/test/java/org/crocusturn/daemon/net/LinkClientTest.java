package org.crocusturn.daemon.net;

import static org.crocusturn.daemon.net.RecordingLinkHandler.take;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Stream;
import org.crocusturn.core.HostId;
import org.crocusturn.core.PeerMessage;
import org.crocusturn.core.controlhosts.ConsensusMessage;
import org.crocusturn.core.controlhosts.ForwardedProposal;
import org.crocusturn.core.operators.ControlCommand;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against unauthenticated peers on links and against lost links that go undetected. */
class LinkClientTest {
    private static final SharedSecret SECRET = SharedSecret.of("a secret of the test");
    private static final int LARGE_BYTES = 1 << 20;
    private static final HostId ENTRY = HostId.of("entry-1");
    private static final HostId CONTROL = HostId.of("control-1");

    private final RecordingLinkHandler mServerHandler = new RecordingLinkHandler();
    private final RecordingLinkHandler mClientHandler = new RecordingLinkHandler();
    private NetThreads mThreads;
    private LinkServer mServer;
    private FrameRelay mRelay;
    private LinkClient mClient;

    @BeforeEach
    void start() throws IOException {
        mThreads = NetThreads.start("test", 2);
        mServer =
                LinkServer.start(
                        mThreads,
                        new InetSocketAddress("127.0.0.1", 0),
                        CONTROL,
                        SECRET,
                        mServerHandler);
        mRelay = new FrameRelay(mServer.address());
    }

    @AfterEach
    void stop() throws IOException {
        if (mClient != null) {
            mClient.close();
        }
        mRelay.close();
        mServer.close();
        mThreads.close();
    }

    @Test
    void deliversMessagesInOrderInBothDirections() throws Exception {
        connect(SECRET);
        PeerLink serverLink = take(mServerHandler.mOpened);
        PeerLink clientLink = take(mClientHandler.mOpened);
        assertEquals(ENTRY, serverLink.peer());
        assertEquals(CONTROL, clientLink.peer());
        for (int n = 0; n < 1_000; n++) {
            assertTrue(mClient.send(message(n)));
            assertTrue(serverLink.send(message(-n)));
        }
        for (int n = 0; n < 1_000; n++) {
            assertEquals(message(n), take(mServerHandler.mMessages));
            assertEquals(message(-n), take(mClientHandler.mMessages));
        }
    }

    @Test
    void rejectsOtherSecrets() throws Exception {
        connect(SharedSecret.of("another secret of the test"));
        Await.until("the client reconnects", () -> mRelay.mConnections.get() >= 3);
        assertFalse(mClient.send(message(1)));
        assertTrue(mServerHandler.mOpened.isEmpty() && mClientHandler.mOpened.isEmpty());
    }

    /** Guards against a forged server that authenticates by reflecting the client's own proof. */
    @Test
    void rejectsReflectedProofs() throws Exception {
        byte[][] proof = new byte[1][];
        mRelay.tamper(
                false,
                (number, frame) -> {
                    proof[0] = number == 1 ? frame : proof[0];
                    return List.of(frame);
                });
        mRelay.tamper(true, (number, frame) -> List.of(number == 1 ? proof[0] : frame));
        connect(SECRET);
        Await.until("the client reconnects", () -> mRelay.mConnections.get() >= 3);
        assertTrue(mClientHandler.mOpened.isEmpty());
    }

    static Stream<Arguments> tamperings() {
        return Stream.of(Tamper.values())
                .flatMap(
                        tamper ->
                                Stream.of(Arguments.of(tamper, false), Arguments.of(tamper, true)));
    }

    /** Guards against an attacker on the network who modifies, replays or drops frames. */
    @ParameterizedTest
    @MethodSource("tamperings")
    void closesOnTamperedFrames(Tamper tamper, boolean framesOfServer) throws Exception {
        int tamperedFrame = 2;
        mRelay.tamper(
                framesOfServer,
                (number, frame) -> number == tamperedFrame ? tamper.apply(frame) : List.of(frame));
        connect(SECRET);
        PeerLink serverLink = take(mServerHandler.mOpened);
        take(mClientHandler.mOpened);
        if (framesOfServer) {
            serverLink.send(message(1));
        } else {
            mClient.send(message(1));
        }
        RecordingLinkHandler receiver = framesOfServer ? mClientHandler : mServerHandler;
        take(receiver.mClosed);
        List<PeerMessage> received = new ArrayList<>(receiver.mMessages);
        int expected = tamper == Tamper.REPEAT ? 1 : 0;
        // The tampered frame may be a heartbeat that was sent before the message.
        assertTrue(received.size() <= expected, "received " + received);
    }

    @Test
    void reconnectsAfterConnectionLoss() throws Exception {
        connect(SECRET);
        for (int n = 0; n < 3; n++) {
            take(mClientHandler.mOpened);
            take(mServerHandler.mOpened);
            mClient.send(message(n));
            assertEquals(message(n), take(mServerHandler.mMessages));
            mRelay.closeConnections();
            take(mClientHandler.mClosed);
            take(mServerHandler.mClosed);
        }
        take(mClientHandler.mOpened);
    }

    /** Guards against a half-open link: the connection exists, but the network delivers nothing. */
    @Test
    void closesHalfOpenLinks() throws Exception {
        connect(SECRET);
        PeerLink serverLink = take(mServerHandler.mOpened);
        take(mClientHandler.mOpened);
        mRelay.dropFrames();
        assertEquals(serverLink, take(mServerHandler.mClosed));
        take(mClientHandler.mClosed);
        assertFalse(serverLink.send(message(1)));
    }

    /** Guards against closing idle links; the first two frames belong to the handshake. */
    @Test
    void sendsHeartbeatsWhenIdle() throws Exception {
        AtomicInteger heartbeats = new AtomicInteger();
        mRelay.tamper(
                false,
                (number, frame) -> {
                    heartbeats.addAndGet(number < 2 ? 0 : 1);
                    return List.of(frame);
                });
        connect(SECRET);
        Await.until("heartbeats are sent", () -> heartbeats.get() >= 3);
        assertTrue(mServerHandler.mMessages.isEmpty());
    }

    /** Guards against unbounded memory use while the remote process does not read. */
    @Test
    void rejectsMessagesWhenWriteBufferIsFull() throws Exception {
        connect(SECRET);
        take(mClientHandler.mOpened);
        mRelay.stopReading();
        PeerMessage large =
                new ForwardedProposal(
                        1, new ControlCommand.WithdrawKey("c", "x".repeat(LARGE_BYTES)));
        int sent = 0;
        while (sent < 200 && mClient.send(large)) {
            sent++;
        }
        // The socket buffers hold several megabytes in addition to the 4 MiB of the link.
        assertTrue(sent > 0 && sent < 100, "sent " + sent);
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "", // Sends nothing, so the handshake times out.
                "GET / HTTP/1.1\r\n\r\n",
                "\0\0\0\0",
                "\0\0\2\1",
                "\u00ff\u00ff\u00ff\u00ff",
                "\0\0\0\3\b\1\u00ff"
            })
    void closesUnauthenticatedConnections(String bytes) throws Exception {
        try (Socket socket =
                new Socket(mServer.address().getAddress(), mServer.address().getPort())) {
            socket.setSoTimeout(20_000);
            socket.getOutputStream()
                    .write(bytes.getBytes(java.nio.charset.StandardCharsets.ISO_8859_1));
            int next;
            try {
                next = socket.getInputStream().read();
            } catch (java.net.SocketException reset) {
                next = -1;
            }
            assertEquals(-1, next);
        }
        assertTrue(mServerHandler.mOpened.isEmpty());
    }

    private void connect(SharedSecret secret) {
        mClient = LinkClient.start(mThreads, mRelay.address(), ENTRY, secret, mClientHandler);
    }

    private static PeerMessage message(long term) {
        return new ConsensusMessage.TransferLeadership(term);
    }

    /** Modification of one signed frame. */
    enum Tamper {
        SEQUENCE,
        PAYLOAD,
        MAC,
        TRUNCATE,
        EMPTY,
        REPEAT,
        DROP;

        private List<byte[]> apply(byte[] frame) {
            byte[] changed = frame.clone();
            return switch (this) {
                case SEQUENCE -> flipped(changed, Long.BYTES - 1);
                case PAYLOAD -> flipped(changed, Long.BYTES);
                case MAC -> flipped(changed, changed.length - 1);
                case TRUNCATE -> List.of(Arrays.copyOf(frame, frame.length - 1));
                case EMPTY -> List.of(new byte[0]);
                case REPEAT -> List.of(frame, frame);
                case DROP -> List.of();
            };
        }

        private static List<byte[]> flipped(byte[] frame, int position) {
            frame[position] ^= 1;
            return List.of(frame);
        }
    }
}
