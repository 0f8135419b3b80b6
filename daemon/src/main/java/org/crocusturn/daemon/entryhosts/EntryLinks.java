package org.crocusturn.daemon.entryhosts;

import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.crocusturn.core.HostId;
import org.crocusturn.core.PeerMessage;
import org.crocusturn.core.callers.Outcome;
import org.crocusturn.core.entryhosts.ForwardedReply;
import org.crocusturn.core.entryhosts.ForwardedRequest;
import org.crocusturn.core.entryhosts.SessionCall;
import org.crocusturn.core.entryhosts.SessionEnd;
import org.crocusturn.core.entryhosts.SessionReply;
import org.crocusturn.core.ring.SteadyClock;
import org.crocusturn.daemon.net.Addresses;
import org.crocusturn.daemon.net.LinkClient;
import org.crocusturn.daemon.net.LinkServer;
import org.crocusturn.daemon.net.NetThreads;
import org.crocusturn.daemon.net.PeerLink;
import org.crocusturn.daemon.net.PeerLinkHandler;
import org.crocusturn.daemon.net.SharedSecret;

/**
 * Holds the links between this entry host and the others, in both directions.
 *
 * <p>Safe for any thread. A reply goes to the link that its request came over and to no later one,
 * so that a restarted process cannot get the reply to a request of its predecessor.
 */
public final class EntryLinks implements AutoCloseable {
    private static final Logger LOG = LogManager.getLogger(EntryLinks.class);

    /** Longer than any request or open transaction lives, in nanoseconds. */
    private static final long IDLE_TIMEOUT_NANOS = 60_000_000_000L;

    private final NetThreads mThreads;
    private final HostId mSelf;
    private final SharedSecret mSecret;
    private final EntryLinksListener mListener;
    private final Map<String, LinkClient> mClients = new ConcurrentHashMap<>();
    private final Map<String, Long> mLastRequestedNanos = new HashMap<>();
    private final Map<HostId, PeerLink> mLinksByOrigin = new ConcurrentHashMap<>();
    private final Map<PeerLink, HostId> mOriginsByLink = new ConcurrentHashMap<>();
    private final AtomicLong mNextLinkNumber = new AtomicLong(1);
    private final LinkServer mServer;

    private EntryLinks(
            NetThreads threads,
            InetSocketAddress address,
            HostId self,
            SharedSecret secret,
            EntryLinksListener listener) {
        mThreads = threads;
        mSelf = self;
        mSecret = secret;
        mListener = listener;
        mServer = LinkServer.start(threads, address, self, secret, new IncomingLinkHandler());
    }

    /**
     * Starts to accept links of other entry hosts.
     *
     * @param threads I/O threads
     * @param address address to bind
     * @param self this host
     * @param secret secret that all processes of the system share
     * @param listener takes requests, replies and lost links
     */
    public static EntryLinks start(
            NetThreads threads,
            InetSocketAddress address,
            HostId self,
            SharedSecret secret,
            EntryLinksListener listener) {
        return new EntryLinks(
                threads, address, self, secret, Objects.requireNonNull(listener, "listener"));
    }

    /** Returns the address where other entry hosts reach this one. */
    public InetSocketAddress address() {
        return mServer.address();
    }

    /**
     * Opens links to the given addresses ahead of need and closes those that have not been asked
     * for during {@link #UNUSED_NANOS}; called from one thread.
     *
     * <p>A link outlives the lease of its host by that time, because replies to requests that were
     * forwarded before the lease moved still come over it.
     */
    public void updateLinks(Set<String> addresses) {
        long now = SteadyClock.nanoTime();
        addresses.forEach(this::client);
        addresses.forEach(address -> mLastRequestedNanos.put(address, now));
        mClients.keySet().forEach(address -> mLastRequestedNanos.putIfAbsent(address, now));
        mLastRequestedNanos.entrySet().stream()
                .filter(entry -> now - entry.getValue() >= IDLE_TIMEOUT_NANOS)
                .map(Map.Entry::getKey)
                .toList()
                .forEach(this::closeIdle);
    }

    private void closeIdle(String address) {
        mLastRequestedNanos.remove(address);
        LinkClient client = mClients.remove(address);
        if (client != null) {
            client.close();
        }
    }

    /** Forwards a request; false if it was not sent. */
    public boolean forward(String address, ForwardedRequest request) {
        return client(address).send(request);
    }

    /** Sends a message to the entry host at an address; false if it was not sent. */
    public boolean send(String address, PeerMessage message) {
        return client(address).send(message);
    }

    /** Replies to a request that came from an origin; a closed link drops the reply. */
    public void reply(HostId origin, long request, Outcome outcome) {
        reply(origin, new ForwardedReply(request, outcome));
    }

    /** Replies to an origin; a closed link drops the reply. */
    public void reply(HostId origin, PeerMessage reply) {
        PeerLink link = mLinksByOrigin.get(origin);
        if (link != null && !link.send(reply)) {
            LOG.warn("entryhosts: the link to {} takes no reply, it is closed", link.peer());
            link.close();
        }
    }

    @Override
    public void close() {
        mClients.values().forEach(LinkClient::close);
        mServer.close();
    }

    private LinkClient client(String address) {
        return mClients.computeIfAbsent(
                address,
                text ->
                        LinkClient.start(
                                mThreads,
                                Addresses.parse(text),
                                mSelf,
                                mSecret,
                                new OutgoingLinkHandler()));
    }

    /** Takes what comes over links that others opened: their requests. */
    private final class IncomingLinkHandler implements PeerLinkHandler {
        @Override
        public void onOpen(PeerLink link) {
            HostId origin = HostId.of(link.peer() + "." + mNextLinkNumber.getAndIncrement());
            mOriginsByLink.put(link, origin);
            mLinksByOrigin.put(origin, link);
        }

        @Override
        public void onMessage(PeerLink link, PeerMessage message) {
            HostId origin = mOriginsByLink.get(link);
            if (origin != null && message instanceof ForwardedRequest request) {
                mListener.onRequest(origin, request);
            } else if (origin != null && message instanceof SessionCall call) {
                mListener.onSessionCall(origin, call);
            } else if (origin != null && message instanceof SessionEnd end) {
                mListener.onSessionEnd(origin, end);
            }
        }

        @Override
        public void onClosed(PeerLink link) {
            HostId origin = mOriginsByLink.remove(link);
            if (origin != null) {
                mLinksByOrigin.remove(origin);
                mListener.onOriginLost(origin);
            }
        }
    }

    /** Takes what comes over links that this host opened: replies. */
    private final class OutgoingLinkHandler implements PeerLinkHandler {
        @Override
        public void onOpen(PeerLink link) {
            LOG.info("entryhosts: link to {} is open", link.peer());
        }

        @Override
        public void onMessage(PeerLink link, PeerMessage message) {
            if (message instanceof ForwardedReply reply) {
                mListener.onReply(reply.id(), reply.outcome());
            } else if (message instanceof SessionReply reply) {
                mListener.onSessionReply(reply);
            }
        }

        @Override
        public void onClosed(PeerLink link) {
            LOG.info("entryhosts: link to {} is closed", link.peer());
            mListener.onLinkLost(link.peer());
        }
    }
}
