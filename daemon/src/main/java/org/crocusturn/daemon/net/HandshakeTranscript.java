package org.crocusturn.daemon.net;

import java.nio.charset.StandardCharsets;
import org.crocusturn.core.HostId;

/**
 * Host ids and nonces that both ends of a link exchanged before the first proof.
 *
 * @param client id of the connecting host
 * @param server id of the accepting host
 * @param clientNonce random bytes of the connecting host; not copied
 * @param serverNonce random bytes of the accepting host; not copied
 */
record HandshakeTranscript(HostId client, HostId server, byte[] clientNonce, byte[] serverNonce) {
    private static final String PROOF_LABEL = "crocusturn link proof 1";
    private static final String FRAME_KEY_LABEL = "crocusturn link frames 1";

    static HandshakeTranscript of(
            LinkRole role, HostId self, byte[] ownNonce, HostId peer, byte[] peerNonce) {
        return role == LinkRole.CLIENT
                ? new HandshakeTranscript(self, peer, ownNonce, peerNonce)
                : new HandshakeTranscript(peer, self, peerNonce, ownNonce);
    }

    /** Returns the proof that the end with the given role knows the secret. */
    byte[] proof(SharedSecret secret, LinkRole role) {
        return secret.mac(macInput(PROOF_LABEL, role));
    }

    /** Returns whether a proof is valid for the end with the given role. */
    boolean verifyProof(SharedSecret secret, LinkRole role, byte[] proof) {
        return secret.verify(proof, macInput(PROOF_LABEL, role));
    }

    /** Derives the key that authenticates the frames sent by the end with the given role. */
    SharedSecret frameKey(SharedSecret secret, LinkRole role) {
        return secret.derive(macInput(FRAME_KEY_LABEL, role));
    }

    private byte[][] macInput(String label, LinkRole role) {
        return new byte[][] {
            label.getBytes(StandardCharsets.UTF_8),
            role.name().getBytes(StandardCharsets.UTF_8),
            client.value().getBytes(StandardCharsets.UTF_8),
            server.value().getBytes(StandardCharsets.UTF_8),
            clientNonce,
            serverNonce
        };
    }
}
