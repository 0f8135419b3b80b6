package org.crocusturn.daemon.net;

import java.nio.charset.StandardCharsets;
import org.crocusturn.core.HostId;

/**
 * Is what both ends of a link said before the first proof.
 *
 * @param client name of the connecting host
 * @param server name of the accepting host
 * @param clientNonce random bytes of the connecting host; not copied
 * @param serverNonce random bytes of the accepting host; not copied
 */
record LinkTranscript(HostId client, HostId server, byte[] clientNonce, byte[] serverNonce) {
    private static final String PROOF = "crocusturn link proof 1";
    private static final String FRAMES = "crocusturn link frames 1";

    static LinkTranscript of(
            LinkRole role, HostId self, byte[] ownNonce, HostId peer, byte[] peerNonce) {
        return role == LinkRole.CLIENT
                ? new LinkTranscript(self, peer, ownNonce, peerNonce)
                : new LinkTranscript(peer, self, peerNonce, ownNonce);
    }

    /** Returns the proof that the side of a role knows the secret. */
    byte[] proof(SharedSecret secret, LinkRole role) {
        return secret.mac(parts(PROOF, role));
    }

    /** Returns whether a proof is that of the side of a role. */
    boolean accepts(SharedSecret secret, LinkRole role, byte[] proof) {
        return secret.verify(proof, parts(PROOF, role));
    }

    /** Returns the key of the frames that the side of a role sends. */
    SharedSecret frameKey(SharedSecret secret, LinkRole role) {
        return secret.derive(parts(FRAMES, role));
    }

    private byte[][] parts(String purpose, LinkRole role) {
        return new byte[][] {
            purpose.getBytes(StandardCharsets.UTF_8),
            role.name().getBytes(StandardCharsets.UTF_8),
            client.value().getBytes(StandardCharsets.UTF_8),
            server.value().getBytes(StandardCharsets.UTF_8),
            clientNonce,
            serverNonce
        };
    }
}
