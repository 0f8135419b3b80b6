/** Benchmarks of decisions and encodings, and the footprint of a deployment by its size. */
package org.crocusturn.standin.bench;
