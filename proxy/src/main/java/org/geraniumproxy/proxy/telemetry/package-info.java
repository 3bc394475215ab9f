/** Metrics, traces and health. */
package org.geraniumproxy.proxy.telemetry;
