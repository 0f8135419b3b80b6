package org.crocusturn.daemon.net;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.embedded.EmbeddedChannel;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against clients that block responses in memory, and against closing steady readers. */
class SlowReaderDetectorTest {
    private static final int PENDING_BYTES = 65_536;

    @ParameterizedTest
    @CsvSource({"0, false", "1, false", "16384, true", "65536, true"})
    void closesUnlessEnoughIsRead(int readBytes, boolean open) {
        SlowReaderDetector detector = new SlowReaderDetector(Duration.ofSeconds(1));
        EmbeddedChannel channel = new EmbeddedChannel(new ChannelDuplexHandler());
        channel.freezeTime();
        ChannelHandlerContext context = channel.pipeline().firstContext();
        channel.write(Unpooled.wrappedBuffer(new byte[PENDING_BYTES]));
        detector.start(context);

        // An embedded channel writes everything on a flush, so the unread bytes are added again.
        channel.flush();
        if (readBytes < PENDING_BYTES) {
            channel.write(Unpooled.wrappedBuffer(new byte[PENDING_BYTES - readBytes]));
        }
        detector.start(context);
        advance(channel);
        assertEquals(open, channel.isOpen());

        advance(channel);
        assertEquals(readBytes == PENDING_BYTES, channel.isOpen());
        channel.finishAndReleaseAll();
    }

    private static void advance(EmbeddedChannel channel) {
        channel.advanceTimeBy(1, TimeUnit.SECONDS);
        channel.runScheduledPendingTasks();
    }
}
