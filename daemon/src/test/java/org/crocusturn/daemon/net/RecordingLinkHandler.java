package org.crocusturn.daemon.net;

import static org.junit.jupiter.api.Assertions.assertNotNull;

import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.crocusturn.core.PeerMessage;

/** Records the events of links. */
class RecordingLinkHandler implements PeerLinkHandler {
    final BlockingQueue<PeerLink> mOpened = new LinkedBlockingQueue<>();
    final BlockingQueue<PeerMessage> mMessages = new LinkedBlockingQueue<>();
    final BlockingQueue<PeerLink> mClosed = new LinkedBlockingQueue<>();

    @Override
    public void onOpen(PeerLink link) {
        mOpened.add(link);
    }

    @Override
    public void onMessage(PeerLink link, PeerMessage message) {
        mMessages.add(message);
    }

    @Override
    public void onClosed(PeerLink link) {
        mClosed.add(link);
    }

    static <T> T take(BlockingQueue<T> queue) throws InterruptedException {
        T next = queue.poll(20, TimeUnit.SECONDS);
        assertNotNull(next, "no event within 20 s");
        return next;
    }
}
