package org.crocusturn.daemon.wire;

import java.util.function.BiConsumer;
import java.util.function.Function;
import org.crocusturn.core.PeerMessage;
import org.crocusturn.daemon.generated.PeerProto;

/**
 * Ties one type of message to its field of the envelope.
 *
 * @param type type of the message
 * @param envelopeField field of the envelope that holds it
 * @param setter puts a message into the envelope
 * @param getter takes a message out of the envelope
 */
record MessageKind<M extends PeerMessage>(
        Class<M> type,
        PeerProto.Envelope.MessageCase envelopeField,
        BiConsumer<PeerProto.Envelope.Builder, M> setter,
        Function<PeerProto.Envelope, M> getter) {

    void encode(PeerProto.Envelope.Builder envelope, PeerMessage message) {
        setter.accept(envelope, type.cast(message));
    }
}
