/** Connects entry hosts with each other and with the control leader. */
package org.crocusturn.daemon.entryhosts;
