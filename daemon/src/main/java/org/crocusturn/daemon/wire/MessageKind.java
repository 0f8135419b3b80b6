package org.crocusturn.daemon.wire;

import java.util.function.BiConsumer;
import java.util.function.Function;
import org.crocusturn.core.PeerMessage;
import org.crocusturn.daemon.generated.PeerProto;

/**
 * Mapping of one type of message to its field of the envelope.
 *
 * @param type type of the message
 * @param envelopeField field of the envelope that contains the message
 * @param setter encodes a message into the envelope
 * @param getter decodes the message in the envelope
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
