/** Figures of measurements, which the parts fill and the report writes. */
package org.geraniumproxy.measure.figures;
