package org.crocusturn.standin.bench;

import org.crocusturn.core.controlhosts.ControlUpdate;
import org.crocusturn.core.controlhosts.EntryReport;
import org.crocusturn.core.controlhosts.StateUpdate;
import org.crocusturn.daemon.wire.PeerMessageCodec;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;

/** Measures the encoding and decoding of reports and updates by the leases of a host. */
@State(Scope.Benchmark)
public class MessageCodecBenchmark {
    /** Number of leases that the host holds. */
    @Param({"1", "3", "12"})
    public int mLeases;

    private EntryReport mReport;
    private ControlUpdate mUpdate;
    private byte[] mReportBytes;
    private byte[] mUpdateBytes;

    /** Creates the messages and their encodings. */
    @Setup
    public void prepare() {
        mReport = SyntheticStates.report(0, 1, mLeases, 100);
        mUpdate = ControlMessages.update(mLeases, new StateUpdate.Unchanged());
        mReportBytes = PeerMessageCodec.encode(mReport);
        mUpdateBytes = PeerMessageCodec.encode(mUpdate);
    }

    /** Encodes a report. */
    @Benchmark
    public byte[] encodeReport() {
        return PeerMessageCodec.encode(mReport);
    }

    /** Decodes a report. */
    @Benchmark
    public Object decodeReport() {
        return PeerMessageCodec.decode(mReportBytes);
    }

    /** Encodes an update without changes. */
    @Benchmark
    public byte[] encodeUpdate() {
        return PeerMessageCodec.encode(mUpdate);
    }

    /** Decodes an update without changes. */
    @Benchmark
    public Object decodeUpdate() {
        return PeerMessageCodec.decode(mUpdateBytes);
    }
}
