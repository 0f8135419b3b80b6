package org.crocusturn.daemon.net;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import com.google.protobuf.MessageLite;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufInputStream;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.util.concurrent.Future;
import java.io.IOException;
import java.security.SecureRandom;
import java.util.concurrent.TimeUnit;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.crocusturn.core.HostId;
import org.crocusturn.core.ring.ThreadFailures;
import org.crocusturn.daemon.generated.PeerProto;

/**
 * Mutual authentication of the two ends of a connection by a shared secret.
 *
 * <p>Both ends send their host id and a random nonce. The client then sends its proof first, so
 * that an unauthenticated client never gets a proof from a server. An invalid message closes the
 * connection.
 */
final class LinkHandshake extends SimpleChannelInboundHandler<ByteBuf> {
    private static final Logger LOG = LogManager.getLogger(LinkHandshake.class);
    private static final int NONCE_BYTES = 32;

    private final LinkRole mRole;
    private final HostId mSelf;
    private final SharedSecret mSecret;
    private final PeerLinkHandler mHandler;
    private final byte[] mNonce = new byte[NONCE_BYTES];
    private HandshakeTranscript mTranscript;
    private Future<?> mTimeout;

    LinkHandshake(LinkRole role, HostId self, SharedSecret secret, PeerLinkHandler handler) {
        mRole = role;
        mSelf = self;
        mSecret = secret;
        mHandler = handler;
        new SecureRandom().nextBytes(mNonce);
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
        mTimeout =
                context.executor()
                        .schedule(
                                ThreadFailures.guardTask(
                                        () -> abort(context, "the handshake timed out")),
                                LinkLimits.HANDSHAKE_TIMEOUT.toNanos(),
                                TimeUnit.NANOSECONDS);
        if (mRole == LinkRole.CLIENT) {
            sendHello(context);
        }
        context.fireChannelActive();
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        cancelTimeout();
        context.fireChannelInactive();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        ChannelFailures.report(cause);
        abort(context, cause.getMessage());
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, ByteBuf frame) throws IOException {
        if (mTranscript == null) {
            onHello(context, PeerProto.Hello.parseFrom(new ByteBufInputStream(frame)));
        } else {
            onProof(context, PeerProto.Proof.parseFrom(new ByteBufInputStream(frame)));
        }
    }

    private void onHello(ChannelHandlerContext context, PeerProto.Hello hello)
            throws InvalidProtocolBufferException {
        if (hello.getVersion() != LinkLimits.PROTOCOL_VERSION
                || hello.getNonce().size() != NONCE_BYTES) {
            throw new InvalidProtocolBufferException(
                    "the protocol version or the nonce length is not valid");
        }
        mTranscript =
                HandshakeTranscript.of(
                        mRole,
                        mSelf,
                        mNonce,
                        HostId.of(hello.getHost()),
                        hello.getNonce().toByteArray());
        if (mRole == LinkRole.SERVER) {
            sendHello(context);
        } else {
            sendProof(context);
        }
    }

    private void onProof(ChannelHandlerContext context, PeerProto.Proof proof) {
        if (!mTranscript.verifyProof(mSecret, mRole.other(), proof.getMac().toByteArray())) {
            abort(context, "the proof of the shared secret is wrong");
            return;
        }
        if (mRole == LinkRole.SERVER) {
            sendProof(context);
        }
        cancelTimeout();
        HostId peer = mRole == LinkRole.SERVER ? mTranscript.client() : mTranscript.server();
        LinkPipeline.completeHandshake(
                context.channel(),
                peer,
                FrameAuthenticator.of(mTranscript.frameKey(mSecret, mRole)),
                FrameAuthenticator.of(mTranscript.frameKey(mSecret, mRole.other())),
                mHandler);
    }

    private void sendHello(ChannelHandlerContext context) {
        send(
                context,
                PeerProto.Hello.newBuilder()
                        .setVersion(LinkLimits.PROTOCOL_VERSION)
                        .setHost(mSelf.value())
                        .setNonce(ByteString.copyFrom(mNonce))
                        .build());
    }

    private void sendProof(ChannelHandlerContext context) {
        send(
                context,
                PeerProto.Proof.newBuilder()
                        .setMac(ByteString.copyFrom(mTranscript.proof(mSecret, mRole)))
                        .build());
    }

    private static void send(ChannelHandlerContext context, MessageLite message) {
        context.writeAndFlush(Unpooled.wrappedBuffer(message.toByteArray()));
    }

    private void abort(ChannelHandlerContext context, String reason) {
        LOG.info(
                "net: closed the connection with {}: {}",
                context.channel().remoteAddress(),
                reason);
        context.close();
    }

    private void cancelTimeout() {
        if (mTimeout != null) {
            mTimeout.cancel(false);
        }
    }
}
