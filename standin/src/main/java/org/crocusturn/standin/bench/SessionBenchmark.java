package org.crocusturn.standin.bench;

import org.crocusturn.core.LogPosition;
import org.crocusturn.core.callers.KeyCheck;
import org.crocusturn.core.callers.SessionMark;
import org.crocusturn.core.callers.SessionToken;
import org.crocusturn.core.operators.ControlState;
import org.crocusturn.daemon.callers.SessionTokenCodec;
import org.crocusturn.daemon.net.SharedSecret;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;

/** Measures the check of a key, and the encoding and decoding of a session token. */
@State(Scope.Benchmark)
public class SessionBenchmark {
    /** Number of groups, workspaces and keys. */
    @Param({"16", "16000"})
    public int mGroups;

    private ControlState mState;
    private String mKeyHash;
    private SessionTokenCodec mCodec;
    private SessionToken mToken;
    private String mEncodedToken;

    /** Creates the state, the codec and a token. */
    @Setup
    public void prepare() {
        mState = SyntheticStates.state(mGroups, 1);
        mKeyHash = SyntheticStates.keyHash(mGroups - 1);
        mCodec = SessionTokenCodec.of(SharedSecret.of("benchmark ".repeat(8)));
        mToken =
                SessionToken.of(SyntheticStates.workspace(0))
                        .withMark(
                                SyntheticStates.group(0),
                                SessionMark.NONE.withWrite(LogPosition.of(3, 1_000)));
        mEncodedToken = mCodec.encode(mToken);
    }

    /** Looks up the workspace of a key hash. */
    @Benchmark
    public Object keyCheck() {
        return KeyCheck.of(mState, mKeyHash);
    }

    /** Encodes and signs a token with one mark. */
    @Benchmark
    public String encodeToken() {
        return mCodec.encode(mToken);
    }

    /** Verifies and decodes a token with one mark. */
    @Benchmark
    public Object decodeToken() {
        return mCodec.decode(mEncodedToken, SyntheticStates.workspace(0));
    }
}
