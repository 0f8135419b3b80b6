package org.crocusturn.daemon.wire;

import java.util.List;
import org.crocusturn.core.HostId;
import org.crocusturn.core.controlhosts.LogContent;
import org.crocusturn.core.controlhosts.LogEntry;
import org.crocusturn.core.controlhosts.Member;
import org.crocusturn.core.controlhosts.Membership;
import org.crocusturn.core.controlhosts.Snapshot;
import org.crocusturn.daemon.generated.ControlHostsProto;

/** Converts log entries and snapshots to and from Protobuf. */
final class LogMapper {
    private LogMapper() {}

    static ControlHostsProto.LogEntry encode(LogEntry value) {
        ControlHostsProto.LogEntry.Builder builder =
                ControlHostsProto.LogEntry.newBuilder()
                        .setPosition(CommonMapper.encode(value.position()));
        LogContent content = value.content().loaded();
        if (content instanceof LogContent.CommandContent c) {
            builder.getCommandBuilder()
                    .setProposalId(c.proposalId())
                    .setCommand(CommandMapper.encode(c.command()));
        } else if (content instanceof LogContent.MembershipContent c) {
            builder.setMembership(encode(c.membership()));
        } else {
            builder.setEmpty(ControlHostsProto.EmptyContent.getDefaultInstance());
        }
        return builder.build();
    }

    static LogEntry decode(ControlHostsProto.LogEntry value) {
        WireFormat.requireField(value.hasPosition(), "position");
        return new LogEntry(CommonMapper.decode(value.getPosition()), decodeContent(value));
    }

    static ControlHostsProto.Snapshot encode(Snapshot value) {
        return ControlHostsProto.Snapshot.newBuilder()
                .setPosition(CommonMapper.encode(value.position()))
                .setMembership(encode(value.membership()))
                .setState(StateMapper.encode(value.state()))
                .build();
    }

    static Snapshot decode(ControlHostsProto.Snapshot value) {
        WireFormat.requireField(value.hasPosition(), "position");
        WireFormat.requireField(value.hasMembership(), "membership");
        WireFormat.requireField(value.hasState(), "state");
        return new Snapshot(
                CommonMapper.decode(value.getPosition()),
                decode(value.getMembership()),
                StateMapper.decode(value.getState()));
    }

    private static LogContent decodeContent(ControlHostsProto.LogEntry value) {
        return switch (value.getContentCase()) {
            case COMMAND ->
                    new LogContent.CommandContent(
                            value.getCommand().getProposalId(),
                            CommandMapper.decode(value.getCommand().getCommand()));
            case MEMBERSHIP -> new LogContent.MembershipContent(decode(value.getMembership()));
            case EMPTY -> new LogContent.EmptyContent();
            case CONTENT_NOT_SET -> throw WireFormat.malformed("unknown content of a log entry");
        };
    }

    static ControlHostsProto.Membership encode(Membership value) {
        ControlHostsProto.Membership.Builder builder = ControlHostsProto.Membership.newBuilder();
        value.members()
                .forEach(
                        m ->
                                builder.addMembers(
                                        ControlHostsProto.Member.newBuilder()
                                                .setHost(m.host().value())
                                                .setLinkAddress(m.linkAddress())
                                                .setVoter(m.voter())));
        return builder.build();
    }

    static List<Member> decodeMembers(List<ControlHostsProto.Member> values) {
        return decode(ControlHostsProto.Membership.newBuilder().addAllMembers(values).build())
                .members();
    }

    static Membership decode(ControlHostsProto.Membership value) {
        return new Membership(
                value.getMembersList().stream()
                        .map(
                                m ->
                                        new Member(
                                                HostId.of(m.getHost()),
                                                m.getLinkAddress(),
                                                m.getVoter()))
                        .toList());
    }
}
