/** Results of measurements: produced by the parts, written by the report. */
package org.geraniumproxy.measure.figures;
