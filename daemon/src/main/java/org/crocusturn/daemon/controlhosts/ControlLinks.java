package org.crocusturn.daemon.controlhosts;

import java.net.InetSocketAddress;
import java.util.HashSet;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.crocusturn.core.HostId;
import org.crocusturn.core.PeerMessage;
import org.crocusturn.core.controlhosts.ConsensusMessage;
import org.crocusturn.core.controlhosts.EndpointNotice;
import org.crocusturn.core.controlhosts.EntryReport;
import org.crocusturn.core.controlhosts.FirstStartAnswer;
import org.crocusturn.core.controlhosts.FirstStartQuestion;
import org.crocusturn.core.controlhosts.ForwardedProposal;
import org.crocusturn.core.controlhosts.JoinRequest;
import org.crocusturn.core.controlhosts.Member;
import org.crocusturn.core.controlhosts.Membership;
import org.crocusturn.core.controlhosts.ProposalReply;
import org.crocusturn.core.controlhosts.UsageReport;
import org.crocusturn.daemon.net.Addresses;
import org.crocusturn.daemon.net.LinkClient;
import org.crocusturn.daemon.net.LinkServer;
import org.crocusturn.daemon.net.NetThreads;
import org.crocusturn.daemon.net.PeerLink;
import org.crocusturn.daemon.net.PeerLinkHandler;
import org.crocusturn.daemon.net.SharedSecret;

/**
 * Manages the links of a control host: incoming links from entry hosts and other control hosts, and
 * outgoing links to the other members. Safe for any thread.
 */
final class ControlLinks implements AutoCloseable {
    private final NetThreads mThreads;
    private final HostId mSelf;
    private final SharedSecret mSecret;
    private final Listener mListener;
    private final LinkServer mServer;
    private final Map<HostId, PeerLink> mIncomingLinks = new ConcurrentHashMap<>();
    private final Map<HostId, LinkClient> mMemberClients = new ConcurrentHashMap<>();

    private ControlLinks(
            NetThreads threads,
            InetSocketAddress address,
            HostId self,
            SharedSecret secret,
            Listener listener) {
        mThreads = threads;
        mSelf = self;
        mSecret = secret;
        mListener = listener;
        mServer = LinkServer.start(threads, address, self, secret, new IncomingLinkHandler());
    }

    /** Receives the events of the links. Called from I/O threads. */
    interface Listener {
        /** Called for a consensus message of another member. */
        void onConsensusMessage(HostId from, ConsensusMessage message);

        /** Called for a question or an answer about a first start. */
        void onFirstStartEvent(FirstStartEvent event);

        /** Called for a report of an entry host. */
        void onReport(HostId from, EntryReport report);

        /** Called when a process reports the usage that it has counted. */
        void onUsageReport(HostId from, UsageReport report);

        /** Called when a host asks to become a member. */
        void onJoinRequest(JoinRequest request);

        /** Called for an endpoint announcement that another control host forwards. */
        void onEndpointNotice(EndpointNotice notice);

        /** Called for a change that another control host forwards. */
        void onForwardedProposal(HostId from, ForwardedProposal proposal);

        /** Called for the reply to a change that this host forwarded. */
        void onProposalReply(ProposalReply reply);

        /** Called when the incoming link from a host was closed. */
        void onLinkClosed(HostId host);
    }

    static ControlLinks start(
            NetThreads threads,
            InetSocketAddress address,
            HostId self,
            SharedSecret secret,
            Listener listener) {
        return new ControlLinks(
                threads, address, self, secret, Objects.requireNonNull(listener, "listener"));
    }

    InetSocketAddress address() {
        return mServer.address();
    }

    /** Opens links to new members and closes the links to removed ones. */
    void updateMembers(Membership membership) {
        Set<HostId> others = new HashSet<>();
        membership.members().stream()
                .filter(member -> !member.host().equals(mSelf))
                .forEach(
                        member -> {
                            others.add(member.host());
                            mMemberClients.compute(
                                    member.host(), (host, existing) -> connect(member, existing));
                        });
        Set<HostId> removed = new HashSet<>(mMemberClients.keySet());
        removed.removeAll(others);
        removed.forEach(
                host -> {
                    LinkClient client = mMemberClients.remove(host);
                    if (client != null) {
                        client.close();
                    }
                });
    }

    /** Sends a message to a member and returns whether it was sent. */
    boolean sendToMember(HostId host, PeerMessage message) {
        LinkClient client = mMemberClients.get(host);
        return client != null && client.send(message);
    }

    /** Sends a message to all other members; skips those whose link is not open. */
    void sendToAllMembers(PeerMessage message) {
        mMemberClients.values().forEach(client -> client.send(message));
    }

    /** Sends a message over the incoming link from a host and returns whether it was sent. */
    boolean sendOverIncomingLink(HostId host, PeerMessage message) {
        PeerLink link = mIncomingLinks.get(host);
        return link != null && link.send(message);
    }

    /** Sends a message over all incoming links. */
    void sendOverIncomingLinks(PeerMessage message) {
        mIncomingLinks.values().forEach(link -> link.send(message));
    }

    @Override
    public void close() {
        mMemberClients.values().forEach(LinkClient::close);
        mServer.close();
    }

    private LinkClient connect(Member member, LinkClient existing) {
        InetSocketAddress address = Addresses.parse(member.linkAddress());
        if (existing != null && existing.address().equals(address)) {
            return existing;
        }
        if (existing != null) {
            existing.close();
        }
        return LinkClient.start(mThreads, address, mSelf, mSecret, new OutgoingLinkHandler());
    }

    private void dispatch(PeerLink link, PeerMessage message) {
        HostId from = link.peer();
        if (message instanceof ConsensusMessage consensus) {
            mListener.onConsensusMessage(from, consensus);
        } else if (message instanceof FirstStartQuestion question) {
            mListener.onFirstStartEvent(new FirstStartEvent.QuestionReceived(from, question));
        } else if (message instanceof FirstStartAnswer answer) {
            mListener.onFirstStartEvent(new FirstStartEvent.AnswerReceived(from, answer));
        } else if (message instanceof EntryReport report) {
            mListener.onReport(from, report);
        } else if (message instanceof UsageReport report) {
            mListener.onUsageReport(from, report);
        } else if (message instanceof JoinRequest request) {
            mListener.onJoinRequest(request);
        } else if (message instanceof EndpointNotice notice) {
            mListener.onEndpointNotice(notice);
        } else if (message instanceof ForwardedProposal proposal) {
            mListener.onForwardedProposal(from, proposal);
        } else if (message instanceof ProposalReply reply) {
            mListener.onProposalReply(reply);
        }
    }

    /** Handles the incoming links. */
    private final class IncomingLinkHandler implements PeerLinkHandler {
        @Override
        public void onOpen(PeerLink link) {
            PeerLink previous = mIncomingLinks.put(link.peer(), link);
            if (previous != null) {
                previous.close();
            }
        }

        @Override
        public void onMessage(PeerLink link, PeerMessage message) {
            dispatch(link, message);
        }

        @Override
        public void onClosed(PeerLink link) {
            if (mIncomingLinks.remove(link.peer(), link)) {
                mListener.onLinkClosed(link.peer());
            }
        }
    }

    /** Handles the outgoing links to other members. */
    private final class OutgoingLinkHandler implements PeerLinkHandler {
        @Override
        public void onOpen(PeerLink link) {
            // Nothing to resend here: the consensus repeats its messages.
        }

        @Override
        public void onMessage(PeerLink link, PeerMessage message) {
            dispatch(link, message);
        }

        @Override
        public void onClosed(PeerLink link) {
            // Nothing to do: the consensus and the proposal duty repeat lost messages.
        }
    }
}
