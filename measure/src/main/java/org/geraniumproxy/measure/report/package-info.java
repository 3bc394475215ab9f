/** The command that measures policies against their baselines, and its reports. */
package org.geraniumproxy.measure.report;
