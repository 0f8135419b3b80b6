/**
 * Protobuf encoding of the messages between processes and of stored records; start at {@link
 * org.crocusturn.daemon.wire.PeerMessageCodec}.
 *
 * <p>Each mapper class converts the records of one theme; none of them decides anything.
 */
package org.crocusturn.daemon.wire;
