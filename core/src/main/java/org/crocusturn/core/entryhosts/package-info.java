/**
 * Interaction with entry hosts: routing and forwarding of requests between them ({@link
 * org.crocusturn.core.entryhosts.Ingress}), and the leases and rate tokens that the control leader
 * grants to them ({@link org.crocusturn.core.entryhosts.ControlLeader}).
 */
package org.crocusturn.core.entryhosts;
