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
import org.crocusturn.daemon.net.Addresses;
import org.crocusturn.daemon.net.LinkClient;
import org.crocusturn.daemon.net.LinkServer;
import org.crocusturn.daemon.net.NetThreads;
import org.crocusturn.daemon.net.PeerLink;
import org.crocusturn.daemon.net.PeerLinkHandler;
import org.crocusturn.daemon.net.SharedSecret;

/**
 * Holds the links of a control host: those that entry hosts and other control hosts opened, and
 * those to the other members. Safe for any thread.
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

    /** Takes the events of the links; called from I/O threads. */
    interface Listener {
        /** Takes a message of another member. */
        void onConsensusMessage(HostId from, ConsensusMessage message);

        /** Takes a question or an answer about a first start. */
        void onFirstStartEvent(FirstStartEvent event);

        /** Takes the report of an entry host. */
        void onReport(HostId from, EntryReport report);

        /** Takes the wish of a host to be a member. */
        void onJoinRequest(JoinRequest request);

        /** Takes what another control host heard of an endpoint. */
        void onEndpointNotice(EndpointNotice notice);

        /** Takes a change that another control host forwards. */
        void onForwardedProposal(HostId from, ForwardedProposal proposal);

        /** Takes the answer to a change that this host forwarded. */
        void onProposalReply(ProposalReply reply);

        /** Takes the loss of the link that a host had opened. */
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

    /** Opens links to the members and closes those to former ones. */
    void updateMembers(Membership membership) {
        Set<HostId> others = new HashSet<>();
        membership.members().stream()
                .filter(member -> !member.host().equals(mSelf))
                .forEach(
                        member -> {
                            others.add(member.host());
                            mMemberClients.compute(
                                    member.host(), (host, old) -> connect(member, old));
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

    /** Sends a message to a member; false if it was not sent. */
    boolean sendToMember(HostId host, PeerMessage message) {
        LinkClient client = mMemberClients.get(host);
        return client != null && client.send(message);
    }

    /** Sends a message to all members whose links are open. */
    void sendToAllMembers(PeerMessage message) {
        mMemberClients.values().forEach(client -> client.send(message));
    }

    /** Sends a message over the link that a host opened; false if it was not sent. */
    boolean sendOverIncomingLink(HostId host, PeerMessage message) {
        PeerLink link = mIncomingLinks.get(host);
        return link != null && link.send(message);
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

    /** Takes what comes over links that others opened. */
    private final class IncomingLinkHandler implements PeerLinkHandler {
        @Override
        public void onOpen(PeerLink link) {
            PeerLink old = mIncomingLinks.put(link.peer(), link);
            if (old != null) {
                old.close();
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

    /** Takes what comes over links to other members. */
    private final class OutgoingLinkHandler implements PeerLinkHandler {
        @Override
        public void onOpen(PeerLink link) {
            // Nothing waits for it; messages are sent again by the consensus.
        }

        @Override
        public void onMessage(PeerLink link, PeerMessage message) {
            dispatch(link, message);
        }

        @Override
        public void onClosed(PeerLink link) {
            // Lost messages are sent again by the consensus and by the proposal duty.
        }
    }
}
