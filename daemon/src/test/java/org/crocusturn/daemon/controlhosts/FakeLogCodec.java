package org.crocusturn.daemon.controlhosts;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.stream.Collectors;
import org.crocusturn.core.EndpointId;
import org.crocusturn.core.HostId;
import org.crocusturn.core.LogPosition;
import org.crocusturn.core.controlhosts.LogContent;
import org.crocusturn.core.controlhosts.LogEntry;
import org.crocusturn.core.controlhosts.Member;
import org.crocusturn.core.controlhosts.Membership;
import org.crocusturn.core.controlhosts.Snapshot;
import org.crocusturn.core.operators.ControlCommand;
import org.crocusturn.core.operators.ControlState;

/**
 * Encodes entries and snapshots as text. Commands must be removals of endpoints, and of the state
 * of a snapshot only the version is kept.
 */
final class FakeLogCodec implements LogCodec {
    @Override
    public byte[] encodeEntry(LogEntry entry) {
        return bytes(position(entry.position()) + " " + content(entry.content()));
    }

    @Override
    public LogEntry decodeEntry(byte[] bytes) {
        List<String> words = words(bytes);
        return new LogEntry(position(words), content(words.subList(2, words.size())));
    }

    @Override
    public byte[] encodeSnapshot(Snapshot snapshot) {
        return bytes(
                position(snapshot.position())
                        + " "
                        + snapshot.state().version()
                        + members(snapshot.membership()));
    }

    @Override
    public Snapshot decodeSnapshot(byte[] bytes) {
        List<String> words = words(bytes);
        return new Snapshot(
                position(words),
                members(words.subList(3, words.size())),
                state(Long.parseLong(words.get(2))));
    }

    static ControlState state(long version) {
        ControlState empty = ControlState.EMPTY;
        return new ControlState(
                version,
                empty.configuration(),
                empty.keys(),
                empty.drained(),
                empty.endpoints(),
                empty.groups(),
                empty.placements(),
                empty.changes());
    }

    private static String content(LogContent content) {
        if (content instanceof LogContent.CommandContent command) {
            ControlCommand.RemoveEndpoint remove =
                    (ControlCommand.RemoveEndpoint) command.command();
            return "command " + command.proposalId() + " " + remove.endpoint();
        }
        return content instanceof LogContent.MembershipContent membership
                ? "members" + members(membership.membership())
                : "empty";
    }

    private static LogContent content(List<String> words) {
        return switch (words.get(0)) {
            case "command" ->
                    new LogContent.CommandContent(
                            Long.parseLong(words.get(1)),
                            new ControlCommand.RemoveEndpoint(EndpointId.of(words.get(2))));
            case "members" ->
                    new LogContent.MembershipContent(members(words.subList(1, words.size())));
            default -> new LogContent.EmptyContent();
        };
    }

    private static String members(Membership membership) {
        return membership.members().stream()
                .map(m -> " " + m.host() + " " + m.linkAddress() + " " + m.voter())
                .collect(Collectors.joining());
    }

    private static Membership members(List<String> words) {
        List<Member> members = new ArrayList<>();
        for (int n = 0; n < words.size(); n += 3) {
            members.add(
                    new Member(
                            HostId.of(words.get(n)),
                            words.get(n + 1),
                            Boolean.parseBoolean(words.get(n + 2))));
        }
        return new Membership(members);
    }

    private static String position(LogPosition position) {
        return position.term() + " " + position.index();
    }

    private static LogPosition position(List<String> words) {
        return LogPosition.of(Long.parseLong(words.get(0)), Long.parseLong(words.get(1)));
    }

    private static byte[] bytes(String text) {
        return text.getBytes(java.nio.charset.StandardCharsets.UTF_8);
    }

    private static List<String> words(byte[] bytes) {
        return Arrays.asList(new String(bytes, java.nio.charset.StandardCharsets.UTF_8).split(" "));
    }
}
