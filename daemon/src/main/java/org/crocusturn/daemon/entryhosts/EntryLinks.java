package org.crocusturn.daemon.entryhosts;

import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.crocusturn.core.ErrorCode;
import org.crocusturn.core.Failure;
import org.crocusturn.core.HostId;
import org.crocusturn.core.PeerMessage;
import org.crocusturn.core.Verdict;
import org.crocusturn.core.callers.Outcome;
import org.crocusturn.core.callers.SessionOutcome;
import org.crocusturn.core.entryhosts.ForwardedReply;
import org.crocusturn.core.entryhosts.ForwardedRequest;
import org.crocusturn.core.entryhosts.LeaseholderLink;
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
 * Manages the links between this entry host and the others, in both directions.
 *
 * <p>Safe for any thread. A reply is sent only over the link that its request came over, so that a
 * restarted process cannot get the reply to a request of the process before it.
 */
public final class EntryLinks implements AutoCloseable {
    private static final Logger LOG = LogManager.getLogger(EntryLinks.class);

    /**
     * Time after which an outgoing link that is not needed is closed, in nanoseconds. It is longer
     * than any request or open transaction lasts.
     */
    private static final long IDLE_TIMEOUT_NANOS = 60_000_000_000L;

    private static final Failure ANSWER_TOO_LARGE =
            new Failure(
                    ErrorCode.TOO_LARGE,
                    Verdict.RAN,
                    "the statement has run; this host has no memory to send its rows",
                    Optional.empty());

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
     * Starts to accept links from other entry hosts.
     *
     * @param threads I/O threads
     * @param address address to bind
     * @param self this host
     * @param secret secret that all processes of the deployment share
     * @param listener listener for requests, replies and lost links
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

    /** Returns the address that the server is bound to. */
    public InetSocketAddress address() {
        return mServer.address();
    }

    /**
     * Opens links to the given addresses in advance and closes those whose address has not been
     * given for {@link #IDLE_TIMEOUT_NANOS}. Called from one thread.
     *
     * <p>A link stays open for that time after the lease of its host has moved, because replies to
     * requests that were forwarded before still arrive over it.
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

    /** Forwards a request to the entry host at an address and returns whether it was sent. */
    public boolean forward(String address, ForwardedRequest request) {
        return client(address).send(request);
    }

    /** Sends a message to the entry host at an address and returns whether it was sent. */
    public boolean send(String address, PeerMessage message) {
        return client(address).send(message);
    }

    /** Returns the state of the link to the entry host at an address. */
    public LeaseholderLink link(String address) {
        OptionalLong lastBytes = client(address).lastBytesNanos();
        return lastBytes.isPresent()
                ? LeaseholderLink.open(lastBytes.getAsLong())
                : LeaseholderLink.NONE;
    }

    /**
     * Replies to a request of an origin; the reply is dropped if the link of the origin is closed.
     */
    public void reply(HostId origin, long request, Outcome outcome) {
        reply(origin, new ForwardedReply(request, outcome));
    }

    /**
     * Sends the reply to a call; the reply is dropped if the link of the origin is closed. If its
     * rows take more memory than there is, the caller learns only that the statement has run.
     */
    public void reply(HostId origin, SessionReply reply) {
        PeerLink link = mLinksByOrigin.get(origin);
        boolean sent = link == null || link.send(reply);
        if (!sent && !reply.outcome().rows().isEmpty()) {
            reply(origin, (PeerMessage) withoutRows(reply));
        } else if (!sent) {
            closeWithoutReply(link);
        }
    }

    private static SessionReply withoutRows(SessionReply reply) {
        SessionOutcome outcome = reply.outcome();
        return new SessionReply(
                reply.id(),
                new SessionOutcome(
                        List.of(),
                        "",
                        Optional.of(ANSWER_TOO_LARGE),
                        outcome.transactionFailed(),
                        outcome.committed()));
    }

    private void reply(HostId origin, PeerMessage reply) {
        PeerLink link = mLinksByOrigin.get(origin);
        if (link != null && !link.send(reply)) {
            closeWithoutReply(link);
        }
    }

    private static void closeWithoutReply(PeerLink link) {
        LOG.warn(
                "entryhosts: closing the link to {} because a reply could not be sent",
                link.peer());
        link.close();
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

    /** Handles incoming links, which carry the requests of other entry hosts. */
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

    /** Handles outgoing links, which carry the replies to requests of this host. */
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
