package org.crocusturn.daemon.wire;

import org.crocusturn.core.HostId;
import org.crocusturn.core.controlhosts.ConsensusMessage;
import org.crocusturn.core.controlhosts.EndpointNotice;
import org.crocusturn.core.controlhosts.ForwardedProposal;
import org.crocusturn.core.controlhosts.JoinRequest;
import org.crocusturn.core.controlhosts.ProposalReply;
import org.crocusturn.daemon.generated.ControlHostsProto;

/** Converts the messages between control hosts to and from Protobuf. */
final class ConsensusMapper {
    private ConsensusMapper() {}

    static ControlHostsProto.VoteRequest encode(ConsensusMessage.VoteRequest value) {
        return ControlHostsProto.VoteRequest.newBuilder()
                .setTerm(value.term())
                .setCandidate(value.candidate().value())
                .setLastEntry(CommonMapper.encode(value.lastEntry()))
                .setPreVote(value.preVote())
                .setTransfer(value.transfer())
                .build();
    }

    static ConsensusMessage.VoteRequest decode(ControlHostsProto.VoteRequest value) {
        WireFormat.requireField(value.hasLastEntry(), "last_entry");
        return new ConsensusMessage.VoteRequest(
                value.getTerm(),
                HostId.of(value.getCandidate()),
                CommonMapper.decode(value.getLastEntry()),
                value.getPreVote(),
                value.getTransfer());
    }

    static ControlHostsProto.VoteReply encode(ConsensusMessage.VoteReply value) {
        return ControlHostsProto.VoteReply.newBuilder()
                .setTerm(value.term())
                .setGranted(value.granted())
                .setPreVote(value.preVote())
                .build();
    }

    static ConsensusMessage.VoteReply decode(ControlHostsProto.VoteReply value) {
        return new ConsensusMessage.VoteReply(
                value.getTerm(), value.getGranted(), value.getPreVote());
    }

    static ControlHostsProto.AppendRequest encode(ConsensusMessage.AppendRequest value) {
        ControlHostsProto.AppendRequest.Builder builder =
                ControlHostsProto.AppendRequest.newBuilder()
                        .setTerm(value.term())
                        .setLeader(value.leader().value())
                        .setPrevious(CommonMapper.encode(value.previous()))
                        .setCommitIndex(value.commitIndex())
                        .setRound(value.round());
        value.entries().forEach(e -> builder.addEntries(LogMapper.encode(e)));
        return builder.build();
    }

    static ConsensusMessage.AppendRequest decode(ControlHostsProto.AppendRequest value) {
        WireFormat.requireField(value.hasPrevious(), "previous");
        return new ConsensusMessage.AppendRequest(
                value.getTerm(),
                HostId.of(value.getLeader()),
                CommonMapper.decode(value.getPrevious()),
                value.getEntriesList().stream().map(LogMapper::decode).toList(),
                value.getCommitIndex(),
                value.getRound());
    }

    static ControlHostsProto.AppendReply encode(ConsensusMessage.AppendReply value) {
        return ControlHostsProto.AppendReply.newBuilder()
                .setTerm(value.term())
                .setSuccess(value.success())
                .setMatchIndex(value.matchIndex())
                .setRound(value.round())
                .setLearner(value.recovering())
                .build();
    }

    static ConsensusMessage.AppendReply decode(ControlHostsProto.AppendReply value) {
        return new ConsensusMessage.AppendReply(
                value.getTerm(),
                value.getSuccess(),
                value.getMatchIndex(),
                value.getRound(),
                value.getLearner());
    }

    static ControlHostsProto.InstallSnapshot encode(ConsensusMessage.InstallSnapshot value) {
        return ControlHostsProto.InstallSnapshot.newBuilder()
                .setTerm(value.term())
                .setLeader(value.leader().value())
                .setSnapshot(LogMapper.encode(value.snapshot()))
                .setRound(value.round())
                .build();
    }

    static ConsensusMessage.InstallSnapshot decode(ControlHostsProto.InstallSnapshot value) {
        return new ConsensusMessage.InstallSnapshot(
                value.getTerm(),
                HostId.of(value.getLeader()),
                LogMapper.decode(value.getSnapshot()),
                value.getRound());
    }

    static ControlHostsProto.SnapshotReply encode(ConsensusMessage.SnapshotReply value) {
        return ControlHostsProto.SnapshotReply.newBuilder()
                .setTerm(value.term())
                .setLastIndex(value.lastIndex())
                .setRound(value.round())
                .build();
    }

    static ConsensusMessage.SnapshotReply decode(ControlHostsProto.SnapshotReply value) {
        return new ConsensusMessage.SnapshotReply(
                value.getTerm(), value.getLastIndex(), value.getRound());
    }

    static ControlHostsProto.TransferLeadership encode(ConsensusMessage.TransferLeadership value) {
        return ControlHostsProto.TransferLeadership.newBuilder().setTerm(value.term()).build();
    }

    static ConsensusMessage.TransferLeadership decode(ControlHostsProto.TransferLeadership value) {
        return new ConsensusMessage.TransferLeadership(value.getTerm());
    }

    static ControlHostsProto.RecoveryRequest encode(ConsensusMessage.RecoveryRequest value) {
        return ControlHostsProto.RecoveryRequest.newBuilder()
                .setTerm(value.term())
                .setMember(value.member().value())
                .setNonce(value.nonce())
                .build();
    }

    static ConsensusMessage.RecoveryRequest decode(ControlHostsProto.RecoveryRequest value) {
        return new ConsensusMessage.RecoveryRequest(
                value.getTerm(), HostId.of(value.getMember()), value.getNonce());
    }

    static ControlHostsProto.RecoveryReply encode(ConsensusMessage.RecoveryReply value) {
        return ControlHostsProto.RecoveryReply.newBuilder()
                .setTerm(value.term())
                .setNonce(value.nonce())
                .setBarrier(CommonMapper.encode(value.barrier()))
                .build();
    }

    static ConsensusMessage.RecoveryReply decode(ControlHostsProto.RecoveryReply value) {
        WireFormat.requireField(value.hasBarrier(), "barrier");
        return new ConsensusMessage.RecoveryReply(
                value.getTerm(), value.getNonce(), CommonMapper.decode(value.getBarrier()));
    }

    static ControlHostsProto.JoinRequest encode(JoinRequest value) {
        return ControlHostsProto.JoinRequest.newBuilder()
                .setHost(value.host().value())
                .setLinkAddress(value.linkAddress())
                .build();
    }

    static JoinRequest decode(ControlHostsProto.JoinRequest value) {
        return new JoinRequest(HostId.of(value.getHost()), value.getLinkAddress());
    }

    static ControlHostsProto.EndpointNotice encode(EndpointNotice value) {
        return ControlHostsProto.EndpointNotice.newBuilder()
                .setEndpoint(RecordMapper.encode(value.endpoint()))
                .setGone(value.gone())
                .build();
    }

    static EndpointNotice decode(ControlHostsProto.EndpointNotice value) {
        WireFormat.requireField(value.hasEndpoint(), "endpoint");
        return new EndpointNotice(RecordMapper.decode(value.getEndpoint()), value.getGone());
    }

    static ControlHostsProto.ForwardedProposal encode(ForwardedProposal value) {
        return ControlHostsProto.ForwardedProposal.newBuilder()
                .setId(value.id())
                .setCommand(CommandMapper.encode(value.command()))
                .build();
    }

    static ForwardedProposal decode(ControlHostsProto.ForwardedProposal value) {
        return new ForwardedProposal(value.getId(), CommandMapper.decode(value.getCommand()));
    }

    static ControlHostsProto.ProposalReply encode(ProposalReply value) {
        return ControlHostsProto.ProposalReply.newBuilder()
                .setId(value.id())
                .setOutcome(RecordMapper.encode(value.outcome()))
                .build();
    }

    static ProposalReply decode(ControlHostsProto.ProposalReply value) {
        WireFormat.requireField(value.hasOutcome(), "outcome");
        return new ProposalReply(value.getId(), RecordMapper.decode(value.getOutcome()));
    }
}
