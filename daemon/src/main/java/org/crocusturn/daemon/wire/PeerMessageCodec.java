package org.crocusturn.daemon.wire;

import static org.crocusturn.daemon.generated.PeerProto.Envelope.MessageCase;

import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.crocusturn.core.CrocusturnException;
import org.crocusturn.core.PeerMessage;
import org.crocusturn.core.controlhosts.ConsensusMessage;
import org.crocusturn.core.controlhosts.ControlUpdate;
import org.crocusturn.core.controlhosts.EndpointNotice;
import org.crocusturn.core.controlhosts.EntryReport;
import org.crocusturn.core.controlhosts.FirstStartAnswer;
import org.crocusturn.core.controlhosts.FirstStartQuestion;
import org.crocusturn.core.controlhosts.ForwardedProposal;
import org.crocusturn.core.controlhosts.JoinRequest;
import org.crocusturn.core.controlhosts.NotLeader;
import org.crocusturn.core.controlhosts.ProposalReply;
import org.crocusturn.core.controlhosts.UsageReceipt;
import org.crocusturn.core.controlhosts.UsageReport;
import org.crocusturn.core.entryhosts.ForwardedReply;
import org.crocusturn.core.entryhosts.ForwardedRequest;
import org.crocusturn.core.entryhosts.SessionCall;
import org.crocusturn.core.entryhosts.SessionEnd;
import org.crocusturn.core.entryhosts.SessionReply;
import org.crocusturn.daemon.generated.PeerProto;

/** Encodes and decodes the messages between processes. */
public final class PeerMessageCodec {
    private static final List<MessageKind<?>> KINDS =
            List.of(
                    new MessageKind<>(
                            EntryReport.class,
                            MessageCase.ENTRY_REPORT,
                            (e, m) -> e.setEntryReport(ReportMapper.encode(m)),
                            e -> ReportMapper.decode(e.getEntryReport())),
                    new MessageKind<>(
                            ControlUpdate.class,
                            MessageCase.CONTROL_UPDATE,
                            (e, m) -> e.setControlUpdate(UpdateMapper.encode(m)),
                            e -> UpdateMapper.decode(e.getControlUpdate())),
                    new MessageKind<>(
                            NotLeader.class,
                            MessageCase.NOT_LEADER,
                            (e, m) -> e.setNotLeader(ReportMapper.encode(m)),
                            e -> ReportMapper.decode(e.getNotLeader())),
                    new MessageKind<>(
                            ConsensusMessage.VoteRequest.class,
                            MessageCase.VOTE_REQUEST,
                            (e, m) -> e.setVoteRequest(ConsensusMapper.encode(m)),
                            e -> ConsensusMapper.decode(e.getVoteRequest())),
                    new MessageKind<>(
                            ConsensusMessage.VoteReply.class,
                            MessageCase.VOTE_REPLY,
                            (e, m) -> e.setVoteReply(ConsensusMapper.encode(m)),
                            e -> ConsensusMapper.decode(e.getVoteReply())),
                    new MessageKind<>(
                            ConsensusMessage.AppendRequest.class,
                            MessageCase.APPEND_REQUEST,
                            (e, m) -> e.setAppendRequest(ConsensusMapper.encode(m)),
                            e -> ConsensusMapper.decode(e.getAppendRequest())),
                    new MessageKind<>(
                            ConsensusMessage.AppendReply.class,
                            MessageCase.APPEND_REPLY,
                            (e, m) -> e.setAppendReply(ConsensusMapper.encode(m)),
                            e -> ConsensusMapper.decode(e.getAppendReply())),
                    new MessageKind<>(
                            ConsensusMessage.InstallSnapshot.class,
                            MessageCase.INSTALL_SNAPSHOT,
                            (e, m) -> e.setInstallSnapshot(ConsensusMapper.encode(m)),
                            e -> ConsensusMapper.decode(e.getInstallSnapshot())),
                    new MessageKind<>(
                            ConsensusMessage.SnapshotReply.class,
                            MessageCase.SNAPSHOT_REPLY,
                            (e, m) -> e.setSnapshotReply(ConsensusMapper.encode(m)),
                            e -> ConsensusMapper.decode(e.getSnapshotReply())),
                    new MessageKind<>(
                            ConsensusMessage.TransferLeadership.class,
                            MessageCase.TRANSFER_LEADERSHIP,
                            (e, m) -> e.setTransferLeadership(ConsensusMapper.encode(m)),
                            e -> ConsensusMapper.decode(e.getTransferLeadership())),
                    new MessageKind<>(
                            ConsensusMessage.RecoveryRequest.class,
                            MessageCase.RECOVERY_REQUEST,
                            (e, m) -> e.setRecoveryRequest(ConsensusMapper.encode(m)),
                            e -> ConsensusMapper.decode(e.getRecoveryRequest())),
                    new MessageKind<>(
                            ConsensusMessage.RecoveryReply.class,
                            MessageCase.RECOVERY_REPLY,
                            (e, m) -> e.setRecoveryReply(ConsensusMapper.encode(m)),
                            e -> ConsensusMapper.decode(e.getRecoveryReply())),
                    new MessageKind<>(
                            FirstStartQuestion.class,
                            MessageCase.FIRST_START_QUESTION,
                            (e, m) -> e.setFirstStartQuestion(FirstStartMapper.encode(m)),
                            e -> FirstStartMapper.decode(e.getFirstStartQuestion())),
                    new MessageKind<>(
                            FirstStartAnswer.class,
                            MessageCase.FIRST_START_ANSWER,
                            (e, m) -> e.setFirstStartAnswer(FirstStartMapper.encode(m)),
                            e -> FirstStartMapper.decode(e.getFirstStartAnswer())),
                    new MessageKind<>(
                            ForwardedProposal.class,
                            MessageCase.FORWARDED_PROPOSAL,
                            (e, m) -> e.setForwardedProposal(ConsensusMapper.encode(m)),
                            e -> ConsensusMapper.decode(e.getForwardedProposal())),
                    new MessageKind<>(
                            ProposalReply.class,
                            MessageCase.PROPOSAL_REPLY,
                            (e, m) -> e.setProposalReply(ConsensusMapper.encode(m)),
                            e -> ConsensusMapper.decode(e.getProposalReply())),
                    new MessageKind<>(
                            ForwardedRequest.class,
                            MessageCase.FORWARDED_REQUEST,
                            (e, m) -> e.setForwardedRequest(RequestMapper.encode(m)),
                            e -> RequestMapper.decode(e.getForwardedRequest())),
                    new MessageKind<>(
                            ForwardedReply.class,
                            MessageCase.FORWARDED_REPLY,
                            (e, m) -> e.setForwardedReply(AnswerMapper.encode(m)),
                            e -> AnswerMapper.decode(e.getForwardedReply())),
                    new MessageKind<>(
                            JoinRequest.class,
                            MessageCase.JOIN_REQUEST,
                            (e, m) -> e.setJoinRequest(ConsensusMapper.encode(m)),
                            e -> ConsensusMapper.decode(e.getJoinRequest())),
                    new MessageKind<>(
                            EndpointNotice.class,
                            MessageCase.ENDPOINT_NOTICE,
                            (e, m) -> e.setEndpointNotice(ConsensusMapper.encode(m)),
                            e -> ConsensusMapper.decode(e.getEndpointNotice())),
                    new MessageKind<>(
                            SessionCall.class,
                            MessageCase.SESSION_CALL,
                            (e, m) -> e.setSessionCall(SessionMapper.encode(m)),
                            e -> SessionMapper.decode(e.getSessionCall())),
                    new MessageKind<>(
                            SessionReply.class,
                            MessageCase.SESSION_REPLY,
                            (e, m) -> e.setSessionReply(SessionMapper.encode(m)),
                            e -> SessionMapper.decode(e.getSessionReply())),
                    new MessageKind<>(
                            SessionEnd.class,
                            MessageCase.SESSION_END,
                            (e, m) -> e.setSessionEnd(SessionMapper.encode(m)),
                            e -> SessionMapper.decode(e.getSessionEnd())),
                    new MessageKind<>(
                            UsageReport.class,
                            MessageCase.USAGE_REPORT,
                            (e, m) -> e.setUsageReport(UsageMapper.encode(m)),
                            e -> UsageMapper.decode(e.getUsageReport())),
                    new MessageKind<>(
                            UsageReceipt.class,
                            MessageCase.USAGE_RECEIPT,
                            (e, m) -> e.setUsageReceipt(UsageMapper.encode(m)),
                            e -> UsageMapper.decode(e.getUsageReceipt())));

    private static final Map<Class<?>, MessageKind<?>> BY_TYPE =
            KINDS.stream().collect(Collectors.toMap(MessageKind::type, Function.identity()));

    private static final Map<MessageCase, MessageKind<?>> BY_ENVELOPE_FIELD =
            KINDS.stream()
                    .collect(Collectors.toMap(MessageKind::envelopeField, Function.identity()));

    private PeerMessageCodec() {}

    /** Returns the types of messages that can be encoded. */
    public static Set<Class<?>> messageTypes() {
        return BY_TYPE.keySet();
    }

    /**
     * Encodes a message.
     *
     * @throws IllegalArgumentException if the type of the message has no encoding
     */
    public static byte[] encode(PeerMessage message) {
        MessageKind<?> kind = BY_TYPE.get(message.getClass());
        if (kind == null) {
            throw new IllegalArgumentException("no encoding for " + message.getClass());
        }
        PeerProto.Envelope.Builder envelope =
                PeerProto.Envelope.newBuilder().setVersion(WireFormat.VERSION);
        kind.encode(envelope, message);
        return envelope.build().toByteArray();
    }

    /**
     * Decodes a message.
     *
     * @throws CrocusturnException if the bytes are malformed or have an unknown version or an
     *     unknown kind
     */
    public static PeerMessage decode(byte[] bytes) {
        return WireFormat.decode("message", () -> decode(PeerProto.Envelope.parseFrom(bytes)));
    }

    private static PeerMessage decode(PeerProto.Envelope envelope) {
        WireFormat.requireVersion(envelope.getVersion());
        MessageKind<?> kind = BY_ENVELOPE_FIELD.get(envelope.getMessageCase());
        if (kind == null) {
            throw WireFormat.malformed("unknown kind of message");
        }
        return kind.getter().apply(envelope);
    }
}
