/** Measurement of how time, memory and message sizes of the control state grow with the size of the fleet. */
package org.geraniumproxy.measure.capacity;
