/**
 * Entry hosts as their peers see them: requests that they forward to each other, and what the
 * control leader grants them; start at {@link ForwardedRequest}.
 */
package org.crocusturn.core.entryhosts;
