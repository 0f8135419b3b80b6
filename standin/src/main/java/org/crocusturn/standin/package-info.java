/** Stand-in database, local deployment and measuring tool; not part of the product. */
package org.crocusturn.standin;
