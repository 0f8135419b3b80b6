package org.crocusturn.daemon.wire;

import org.crocusturn.core.WorkspaceId;
import org.crocusturn.core.controlhosts.ControlUpdate;
import org.crocusturn.core.controlhosts.LeaseGrant;
import org.crocusturn.core.controlhosts.Membership;
import org.crocusturn.core.controlhosts.StateUpdate;
import org.crocusturn.core.controlhosts.TokenGrant;
import org.crocusturn.daemon.generated.ControlHostsProto;

/** Converts the updates that the control leader sends to and from Protobuf. */
final class UpdateMapper {
    /** Latest changes and states of each kind, which the leader sends to all hosts. */
    private static final int CACHED_VALUES = 8;

    private static final EncodingCache<StateUpdate, ControlHostsProto.StateUpdate> REPLACEMENTS =
            EncodingCache.ofSize(CACHED_VALUES, UpdateMapper::encodeUncached);

    private static final EncodingCache<
                    StateUpdate.VersionedCommand, ControlHostsProto.VersionedCommand>
            COMMANDS = EncodingCache.ofSize(CACHED_VALUES, UpdateMapper::encodeUncached);

    private UpdateMapper() {}

    static ControlHostsProto.ControlUpdate encode(ControlUpdate value) {
        ControlHostsProto.ControlUpdate.Builder builder =
                ControlHostsProto.ControlUpdate.newBuilder()
                        .setLeader(value.leaderTerm())
                        .setSequence(value.sequence())
                        .setVersion(value.version())
                        .setState(encode(value.state()))
                        .setFreshnessMillis(value.freshnessMillis());
        value.leases().forEach(l -> builder.addLeases(encode(l)));
        value.tokens().forEach(t -> builder.addTokens(encode(t)));
        builder.addAllMembers(LogMapper.encode(new Membership(value.members())).getMembersList());
        return builder.build();
    }

    static ControlUpdate decode(ControlHostsProto.ControlUpdate value) {
        return new ControlUpdate(
                value.getLeader(),
                value.getSequence(),
                value.getVersion(),
                decode(value.getState()),
                value.getFreshnessMillis(),
                value.getLeasesList().stream().map(UpdateMapper::decode).toList(),
                value.getTokensList().stream().map(UpdateMapper::decode).toList(),
                LogMapper.decodeMembers(value.getMembersList()));
    }

    static ControlHostsProto.StateUpdate encode(StateUpdate value) {
        return value instanceof StateUpdate.Replacement
                ? REPLACEMENTS.encode(value)
                : encodeUncached(value);
    }

    private static ControlHostsProto.StateUpdate encodeUncached(StateUpdate value) {
        ControlHostsProto.StateUpdate.Builder builder = ControlHostsProto.StateUpdate.newBuilder();
        if (value instanceof StateUpdate.Changes changes) {
            builder.getChangesBuilder().setBaseVersion(changes.baseVersion());
            changes.commands()
                    .forEach(c -> builder.getChangesBuilder().addCommands(COMMANDS.encode(c)));
        } else if (value instanceof StateUpdate.Replacement replacement) {
            builder.setReplacement(StateMapper.encode(replacement.state()));
        } else {
            builder.setUnchanged(ControlHostsProto.Unchanged.getDefaultInstance());
        }
        return builder.build();
    }

    private static StateUpdate decode(ControlHostsProto.StateUpdate value) {
        return switch (value.getKindCase()) {
            case UNCHANGED -> new StateUpdate.Unchanged();
            case CHANGES ->
                    new StateUpdate.Changes(
                            value.getChanges().getBaseVersion(),
                            value.getChanges().getCommandsList().stream()
                                    .map(UpdateMapper::decode)
                                    .toList());
            case REPLACEMENT ->
                    new StateUpdate.Replacement(StateMapper.decode(value.getReplacement()));
            case KIND_NOT_SET -> throw WireFormat.malformed("unknown kind of state update");
        };
    }

    private static ControlHostsProto.VersionedCommand encodeUncached(
            StateUpdate.VersionedCommand value) {
        return ControlHostsProto.VersionedCommand.newBuilder()
                .setVersion(value.version())
                .setCommand(CommandMapper.encode(value.command()))
                .build();
    }

    private static StateUpdate.VersionedCommand decode(ControlHostsProto.VersionedCommand value) {
        return new StateUpdate.VersionedCommand(
                value.getVersion(), CommandMapper.decode(value.getCommand()));
    }

    private static ControlHostsProto.LeaseGrant encode(LeaseGrant value) {
        return ControlHostsProto.LeaseGrant.newBuilder()
                .setGroup(CommonMapper.encode(value.group()))
                .setEpoch(value.epoch())
                .setDurationMillis(value.durationMillis())
                .setAcknowledgeTerm(value.acknowledgeTerm())
                .setMove(value.move())
                .build();
    }

    private static LeaseGrant decode(ControlHostsProto.LeaseGrant value) {
        return new LeaseGrant(
                CommonMapper.decode(value.getGroup()),
                value.getEpoch(),
                value.getDurationMillis(),
                value.getAcknowledgeTerm(),
                value.getMove());
    }

    private static ControlHostsProto.TokenGrant encode(TokenGrant value) {
        return ControlHostsProto.TokenGrant.newBuilder()
                .setWorkspace(value.workspace().value())
                .setId(value.id())
                .setTokens(value.tokens())
                .setDurationMillis(value.durationMillis())
                .build();
    }

    private static TokenGrant decode(ControlHostsProto.TokenGrant value) {
        return new TokenGrant(
                WorkspaceId.of(value.getWorkspace()),
                value.getId(),
                value.getTokens(),
                value.getDurationMillis());
    }
}
