package org.crocusturn.standin.bench;

import org.crocusturn.core.controlhosts.Snapshot;
import org.crocusturn.daemon.wire.LogRecordCodec;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;

/** Measures the encoding and decoding of snapshots by the number of groups. */
@State(Scope.Benchmark)
public class SnapshotCodecBenchmark {
    /** Number of groups. */
    @Param({"16", "160", "1600", "16000"})
    public int mGroups;

    private Snapshot mSnapshot;
    private byte[] mBytes;

    /** Creates the snapshot and its encoding. */
    @Setup
    public void prepare() {
        mSnapshot = ControlMessages.snapshot(mGroups);
        mBytes = LogRecordCodec.encodeSnapshot(mSnapshot);
    }

    /** Encodes a snapshot. */
    @Benchmark
    public byte[] encode() {
        return LogRecordCodec.encodeSnapshot(mSnapshot);
    }

    /** Decodes a snapshot. */
    @Benchmark
    public Object decode() {
        return LogRecordCodec.decodeSnapshot(mBytes);
    }
}
