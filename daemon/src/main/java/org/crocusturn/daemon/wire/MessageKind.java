package org.crocusturn.daemon.wire;

import java.util.function.BiConsumer;
import java.util.function.Function;
import org.crocusturn.core.PeerMessage;
import org.crocusturn.daemon.generated.PeerProto;

/**
 * Ties one type of message to its field of the envelope.
 *
 * @param type type of the message
 * @param field field of the envelope that holds it
 * @param put puts a message into the envelope
 * @param get takes a message out of the envelope
 */
record MessageKind<M extends PeerMessage>(
        Class<M> type,
        PeerProto.Envelope.MessageCase field,
        BiConsumer<PeerProto.Envelope.Builder, M> put,
        Function<PeerProto.Envelope, M> get) {

    void encode(PeerProto.Envelope.Builder envelope, PeerMessage message) {
        put.accept(envelope, type.cast(message));
    }
}
