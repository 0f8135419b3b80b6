/** Links between entry hosts. */
package org.crocusturn.daemon.entryhosts;
