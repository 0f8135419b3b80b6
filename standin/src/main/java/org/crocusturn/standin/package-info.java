/**
 * Local deployment for development and tests, with a stand-in database, benchmarks and a measuring
 * tool; not part of the product.
 */
package org.crocusturn.standin;
