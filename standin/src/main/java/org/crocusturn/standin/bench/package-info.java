/** Benchmarks of decisions and codecs, and the footprint of deployments of several sizes. */
package org.crocusturn.standin.bench;
