/** Command that compares policies with their baselines, and its report formats. */
package org.geraniumproxy.measure.report;
