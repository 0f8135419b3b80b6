package org.crocusturn.daemon.wire;

import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Collectors;
import org.crocusturn.core.CrocusturnException;
import org.crocusturn.core.HostId;
import org.crocusturn.core.controlhosts.FirstStartAnswer;
import org.crocusturn.core.controlhosts.FirstStartIds;
import org.crocusturn.core.controlhosts.FirstStartQuestion;
import org.crocusturn.daemon.generated.ControlHostsProto;

/** Converts the messages of a first start, and the start ids that a host stores for it. */
public final class FirstStartMapper {
    private FirstStartMapper() {}

    /** Encodes the stored start ids. */
    public static byte[] encodeIds(FirstStartIds ids) {
        ControlHostsProto.StoredStartIds.Builder builder =
                ControlHostsProto.StoredStartIds.newBuilder()
                        .setVersion(WireFormat.VERSION)
                        .setOwn(ids.own());
        new TreeMap<>(ids.others()).forEach((host, id) -> builder.putOthers(host.value(), id));
        return builder.build().toByteArray();
    }

    /**
     * Decodes the stored start ids.
     *
     * @throws CrocusturnException if the bytes are malformed or have an unknown version
     */
    public static FirstStartIds decodeIds(byte[] bytes) {
        return WireFormat.decode(
                "start ids", () -> decode(ControlHostsProto.StoredStartIds.parseFrom(bytes)));
    }

    private static FirstStartIds decode(ControlHostsProto.StoredStartIds value) {
        WireFormat.requireVersion(value.getVersion());
        Map<HostId, Long> others =
                value.getOthersMap().entrySet().stream()
                        .collect(Collectors.toMap(e -> HostId.of(e.getKey()), Map.Entry::getValue));
        return new FirstStartIds(value.getOwn(), others);
    }

    static ControlHostsProto.FirstStartQuestion encode(FirstStartQuestion value) {
        return ControlHostsProto.FirstStartQuestion.newBuilder()
                .setStartId(value.startId())
                .setMembers(LogMapper.encode(value.members()))
                .build();
    }

    static FirstStartQuestion decode(ControlHostsProto.FirstStartQuestion value) {
        WireFormat.requireField(value.hasMembers(), "members");
        return new FirstStartQuestion(value.getStartId(), LogMapper.decode(value.getMembers()));
    }

    static ControlHostsProto.FirstStartAnswer encode(FirstStartAnswer value) {
        return ControlHostsProto.FirstStartAnswer.newBuilder()
                .setStartId(value.startId())
                .setFinding(
                        ControlHostsProto.FirstStartAnswer.Finding.valueOf(value.finding().name()))
                .build();
    }

    /**
     * A message with an unspecified or unknown finding, which has no enum constant, is malformed.
     */
    static FirstStartAnswer decode(ControlHostsProto.FirstStartAnswer value) {
        return new FirstStartAnswer(
                value.getStartId(), FirstStartAnswer.Finding.valueOf(value.getFinding().name()));
    }
}
