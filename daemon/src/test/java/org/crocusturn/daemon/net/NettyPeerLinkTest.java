package org.crocusturn.daemon.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundHandlerAdapter;
import io.netty.channel.ChannelPromise;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.util.ReferenceCountUtil;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Queue;
import java.util.Random;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.crocusturn.core.GroupId;
import org.crocusturn.core.HostId;
import org.crocusturn.core.LogPosition;
import org.crocusturn.core.WorkspaceId;
import org.crocusturn.core.callers.SessionStatement;
import org.crocusturn.core.callers.StatementKind;
import org.crocusturn.core.callers.TransactionStep;
import org.crocusturn.core.controlhosts.ForwardedProposal;
import org.crocusturn.core.entryhosts.SessionCall;
import org.crocusturn.core.operators.Configuration;
import org.crocusturn.core.operators.Consistency;
import org.crocusturn.core.operators.ControlCommand;
import org.crocusturn.core.operators.SessionLimits;
import org.crocusturn.core.ring.ByteBudget;
import org.crocusturn.daemon.wire.PeerMessageCodec;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against links to hosts that do not read, which together fill the heap: the unsent bytes
 * were limited for each link only.
 */
class NettyPeerLinkTest {
    private static final HostId PEER = HostId.of("c2");
    private static final int LINKS = 40;
    private static final long BUDGET_BYTES = 1_000_000;

    private final Queue<ChannelPromise> mUnsent = new ArrayDeque<>();
    private final ByteBudget mBudget = ByteBudget.of(BUDGET_BYTES);

    /** Keeps messages unsent. */
    private final class UnsentMessages extends ChannelOutboundHandlerAdapter {
        @Override
        public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
            ReferenceCountUtil.release(message);
            mUnsent.add(promise);
        }
    }

    private static ForwardedProposal message(int characters) {
        Random random = new Random(characters);
        String document =
                IntStream.range(0, characters)
                        .mapToObj(n -> String.valueOf((char) (' ' + random.nextInt(90))))
                        .collect(Collectors.joining());
        return new ForwardedProposal(
                1,
                new ControlCommand.ReplaceConfiguration(
                        "c",
                        new Configuration(
                                1,
                                List.of(),
                                List.of(),
                                List.of(),
                                List.of(),
                                Map.of(),
                                List.of(),
                                List.of(),
                                SessionLimits.DEFAULT,
                                document)));
    }

    /** Returns the call of a session with the longest text of a caller and as long values. */
    private static SessionCall call(int values) {
        byte[] bytes = new byte[1 << 20];
        new Random(values).nextBytes(bytes);
        String text = new String(bytes, StandardCharsets.ISO_8859_1);
        return new SessionCall(
                1,
                1,
                GroupId.of("db", "all"),
                1,
                WorkspaceId.of("t1"),
                new SessionCall.Options(Consistency.PRIMARY, 0, 0, 1_000),
                TransactionStep.NONE,
                new SessionStatement("5c", StatementKind.WRITE, "k", text, "WRITE k " + text),
                Optional.empty(),
                IntStream.range(0, values)
                        .boxed()
                        .collect(Collectors.toMap(n -> "n" + n, n -> text)),
                LogPosition.ZERO);
    }

    /** Guards against a statement that closes a link because its encoded form is too long. */
    @ParameterizedTest
    @CsvSource({"0, true", "1, true", "20, false"})
    void refusesOnlyCallsThatFitNoFrame(int values, boolean accepted) {
        EmbeddedChannel channel = new EmbeddedChannel(new UnsentMessages());
        NettyPeerLink link = NettyPeerLink.of(channel, PEER, ByteBudget.of(1 << 27));
        assertEquals(accepted, link.send(call(values)));
        assertTrue(channel.isActive());
        assertTrue(link.send(message(100)), "the link is still used");
    }

    @ParameterizedTest
    @CsvSource({"100000, true", "100000, false", "30000, true", "900000, true"})
    void refusesLargeMessagesOverAllLinks(int characters, boolean sent) {
        List<NettyPeerLink> links =
                IntStream.range(0, LINKS)
                        .mapToObj(n -> new EmbeddedChannel(new UnsentMessages()))
                        .map(channel -> NettyPeerLink.of(channel, PEER, mBudget))
                        .toList();
        ForwardedProposal large = message(characters);
        long accepted = Math.max(1, BUDGET_BYTES / 2 / PeerMessageCodec.encode(large).length);
        assertEquals(accepted, links.stream().filter(link -> link.send(large)).count());
        assertTrue(links.get(0).send(message(100)), "a small message is sent");
        assertFalse(links.get(0).send(large));
        mUnsent.forEach(promise -> complete(promise, sent));
        assertEquals(0, mBudget.usedBytes());
        assertTrue(links.get(0).send(large), "there is room again");
    }

    private static void complete(ChannelPromise promise, boolean sent) {
        if (sent) {
            promise.setSuccess();
        } else {
            promise.setFailure(new IllegalStateException("the link was closed"));
        }
    }
}
