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

/** Guards against strangers on links, and against links that are lost without notice. */
class LinkClientTest {
    private static final SharedSecret SECRET = SharedSecret.of("a secret of the test");
    private static final int LARGE_BYTES = 1 << 20;
    private static final HostId ENTRY = HostId.of("entry-1");
    private static final HostId CONTROL = HostId.of("control-1");

    private final RecordingLinkHandler mAtServer = new RecordingLinkHandler();
    private final RecordingLinkHandler mAtClient = new RecordingLinkHandler();
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
                        mAtServer);
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
    void passesMessagesInOrderInBothDirections() throws Exception {
        connect(SECRET);
        PeerLink atServer = take(mAtServer.mOpened);
        PeerLink atClient = take(mAtClient.mOpened);
        assertEquals(ENTRY, atServer.peer());
        assertEquals(CONTROL, atClient.peer());
        for (int n = 0; n < 1_000; n++) {
            assertTrue(mClient.send(message(n)));
            assertTrue(atServer.send(message(-n)));
        }
        for (int n = 0; n < 1_000; n++) {
            assertEquals(message(n), take(mAtServer.mMessages));
            assertEquals(message(-n), take(mAtClient.mMessages));
        }
    }

    @Test
    void refusesOtherSecrets() throws Exception {
        connect(SharedSecret.of("another secret of the test"));
        Await.until("the client tries again", () -> mRelay.mConnections.get() >= 3);
        assertFalse(mClient.send(message(1)));
        assertTrue(mAtServer.mOpened.isEmpty() && mAtClient.mOpened.isEmpty());
    }

    /** Guards against a server that anybody can play: the proof of a client is sent back to it. */
    @Test
    void refusesReflectedProofs() throws Exception {
        byte[][] proof = new byte[1][];
        mRelay.tamper(
                false,
                (number, frame) -> {
                    proof[0] = number == 1 ? frame : proof[0];
                    return List.of(frame);
                });
        mRelay.tamper(true, (number, frame) -> List.of(number == 1 ? proof[0] : frame));
        connect(SECRET);
        Await.until("the client tries again", () -> mRelay.mConnections.get() >= 3);
        assertTrue(mAtClient.mOpened.isEmpty());
    }

    static Stream<Arguments> tamperings() {
        return Stream.of(Tamper.values())
                .flatMap(t -> Stream.of(Arguments.of(t, false), Arguments.of(t, true)));
    }

    /** Guards against a stranger on the network that injects, repeats or removes messages. */
    @ParameterizedTest
    @MethodSource("tamperings")
    void closesOnTamperedFrames(Tamper tamper, boolean framesOfServer) throws Exception {
        int first = 2;
        mRelay.tamper(
                framesOfServer,
                (number, frame) -> number == first ? tamper.on(frame) : List.of(frame));
        connect(SECRET);
        PeerLink atServer = take(mAtServer.mOpened);
        take(mAtClient.mOpened);
        if (framesOfServer) {
            atServer.send(message(1));
        } else {
            mClient.send(message(1));
        }
        RecordingLinkHandler receiver = framesOfServer ? mAtClient : mAtServer;
        take(receiver.mClosed);
        List<PeerMessage> received = new ArrayList<>(receiver.mMessages);
        int expected = tamper == Tamper.REPEAT ? 1 : 0;
        // The tampered frame can also be a heartbeat that was sent before the message.
        assertTrue(received.size() <= expected, "received " + received);
    }

    @Test
    void connectsAgainAfterACut() throws Exception {
        connect(SECRET);
        for (int n = 0; n < 3; n++) {
            take(mAtClient.mOpened);
            take(mAtServer.mOpened);
            mClient.send(message(n));
            assertEquals(message(n), take(mAtServer.mMessages));
            mRelay.cut();
            take(mAtClient.mClosed);
            take(mAtServer.mClosed);
        }
        take(mAtClient.mOpened);
    }

    /** Guards against a link that looks open although the network passes nothing. */
    @Test
    void closesHalfOpenLinks() throws Exception {
        connect(SECRET);
        PeerLink atServer = take(mAtServer.mOpened);
        take(mAtClient.mOpened);
        mRelay.freeze();
        assertEquals(atServer, take(mAtServer.mClosed));
        take(mAtClient.mClosed);
        assertFalse(atServer.send(message(1)));
    }

    /** Guards against idle links that are closed; the first two frames are the handshake. */
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
        Await.until("heartbeats pass", () -> heartbeats.get() >= 3);
        assertTrue(mAtServer.mMessages.isEmpty());
    }

    /** Guards against memory that grows while the other end does not read. */
    @Test
    void refusesMessagesWhenTheBufferIsFull() throws Exception {
        connect(SECRET);
        take(mAtClient.mOpened);
        mRelay.stall();
        PeerMessage large =
                new ForwardedProposal(
                        1, new ControlCommand.WithdrawKey("c", "x".repeat(LARGE_BYTES)));
        int sent = 0;
        while (sent < 200 && mClient.send(large)) {
            sent++;
        }
        // The buffers of the two sockets hold some megabytes besides the 4 MiB of the link.
        assertTrue(sent > 0 && sent < 100, "sent " + sent);
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "", // A stranger that says nothing is closed after the timeout.
                "GET / HTTP/1.1\r\n\r\n",
                "\0\0\0\0",
                "\0\0\2\1",
                "\u00ff\u00ff\u00ff\u00ff",
                "\0\0\0\3\b\1\u00ff"
            })
    void closesStrangers(String bytes) throws Exception {
        try (Socket stranger =
                new Socket(mServer.address().getAddress(), mServer.address().getPort())) {
            stranger.setSoTimeout(20_000);
            stranger.getOutputStream()
                    .write(bytes.getBytes(java.nio.charset.StandardCharsets.ISO_8859_1));
            int next;
            try {
                next = stranger.getInputStream().read();
            } catch (java.net.SocketException reset) {
                next = -1;
            }
            assertEquals(-1, next);
        }
        assertTrue(mAtServer.mOpened.isEmpty());
    }

    private void connect(SharedSecret secret) {
        mClient = LinkClient.start(mThreads, mRelay.address(), ENTRY, secret, mAtClient);
    }

    private static PeerMessage message(long term) {
        return new ConsensusMessage.TransferLeadership(term);
    }

    /** Is a change of one sealed frame. */
    enum Tamper {
        SEQUENCE,
        PAYLOAD,
        CODE,
        CUT,
        EMPTY,
        REPEAT,
        DROP;

        private List<byte[]> on(byte[] frame) {
            byte[] changed = frame.clone();
            return switch (this) {
                case SEQUENCE -> flipped(changed, Long.BYTES - 1);
                case PAYLOAD -> flipped(changed, Long.BYTES);
                case CODE -> flipped(changed, changed.length - 1);
                case CUT -> List.of(Arrays.copyOf(frame, frame.length - 1));
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
