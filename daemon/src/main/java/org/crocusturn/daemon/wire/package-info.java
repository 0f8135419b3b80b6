/**
 * Protobuf encoding of the messages between processes ({@link
 * org.crocusturn.daemon.wire.PeerMessageCodec}) and of stored records.
 *
 * <p>Each mapper class converts one group of records and contains no decision logic.
 */
package org.crocusturn.daemon.wire;
