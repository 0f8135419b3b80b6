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
    private final Map<HostId, PeerLink> mIncoming = new ConcurrentHashMap<>();
    private final Map<HostId, LinkClient> mMembers = new ConcurrentHashMap<>();

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
        mServer = LinkServer.start(threads, address, self, secret, new Incoming());
    }

    /** Takes the events of the links; called from I/O threads. */
    interface Listener {
        /** Takes a message of another member. */
        void consensus(HostId from, ConsensusMessage message);

        /** Takes a question or an answer about a first start. */
        void firstStart(FirstStartEvent event);

        /** Takes the report of an entry host. */
        void report(HostId from, EntryReport report);

        /** Takes the wish of a host to be a member. */
        void join(JoinRequest request);

        /** Takes what another control host heard of an endpoint. */
        void notice(EndpointNotice notice);

        /** Takes a change that another control host forwards. */
        void proposal(HostId from, ForwardedProposal proposal);

        /** Takes the answer to a change that this host forwarded. */
        void proposalReply(ProposalReply reply);

        /** Takes the loss of the link that a host had opened. */
        void closed(HostId host);
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
    void keep(Membership membership) {
        Set<HostId> others = new HashSet<>();
        membership.members().stream()
                .filter(member -> !member.host().equals(mSelf))
                .forEach(
                        member -> {
                            others.add(member.host());
                            mMembers.compute(member.host(), (host, old) -> connect(member, old));
                        });
        Set<HostId> former = new HashSet<>(mMembers.keySet());
        former.removeAll(others);
        former.forEach(
                host -> {
                    LinkClient client = mMembers.remove(host);
                    if (client != null) {
                        client.close();
                    }
                });
    }

    /** Sends a message to a member; false if it was not sent. */
    boolean sendToMember(HostId host, PeerMessage message) {
        LinkClient client = mMembers.get(host);
        return client != null && client.send(message);
    }

    /** Sends a message to all members whose links are open. */
    void sendToAllMembers(PeerMessage message) {
        mMembers.values().forEach(client -> client.send(message));
    }

    /** Sends a message over the link that a host opened; false if it was not sent. */
    boolean sendToIncoming(HostId host, PeerMessage message) {
        PeerLink link = mIncoming.get(host);
        return link != null && link.send(message);
    }

    @Override
    public void close() {
        mMembers.values().forEach(LinkClient::close);
        mServer.close();
    }

    private LinkClient connect(Member member, LinkClient old) {
        InetSocketAddress address = Addresses.parse(member.linkAddress());
        if (old != null && old.address().equals(address)) {
            return old;
        }
        if (old != null) {
            old.close();
        }
        return LinkClient.start(mThreads, address, mSelf, mSecret, new Outgoing());
    }

    private void receive(PeerLink link, PeerMessage message) {
        HostId from = link.peer();
        if (message instanceof ConsensusMessage consensus) {
            mListener.consensus(from, consensus);
        } else if (message instanceof FirstStartQuestion question) {
            mListener.firstStart(new FirstStartEvent.Asked(from, question));
        } else if (message instanceof FirstStartAnswer answer) {
            mListener.firstStart(new FirstStartEvent.Answered(from, answer));
        } else if (message instanceof EntryReport report) {
            mListener.report(from, report);
        } else if (message instanceof JoinRequest request) {
            mListener.join(request);
        } else if (message instanceof EndpointNotice notice) {
            mListener.notice(notice);
        } else if (message instanceof ForwardedProposal proposal) {
            mListener.proposal(from, proposal);
        } else if (message instanceof ProposalReply reply) {
            mListener.proposalReply(reply);
        }
    }

    /** Takes what comes over links that others opened. */
    private final class Incoming implements PeerLinkHandler {
        @Override
        public void onOpen(PeerLink link) {
            PeerLink old = mIncoming.put(link.peer(), link);
            if (old != null) {
                old.close();
            }
        }

        @Override
        public void onMessage(PeerLink link, PeerMessage message) {
            receive(link, message);
        }

        @Override
        public void onClosed(PeerLink link) {
            if (mIncoming.remove(link.peer(), link)) {
                mListener.closed(link.peer());
            }
        }
    }

    /** Takes what comes over links to other members. */
    private final class Outgoing implements PeerLinkHandler {
        @Override
        public void onOpen(PeerLink link) {
            // Nothing waits for it; messages are sent again by the consensus.
        }

        @Override
        public void onMessage(PeerLink link, PeerMessage message) {
            receive(link, message);
        }

        @Override
        public void onClosed(PeerLink link) {
            // Lost messages are sent again by the consensus and by the proposal duty.
        }
    }
}
