/** Measures a local deployment under load; start at {@link MeasureMain}. */
package org.crocusturn.standin.measure;
