/** Slopes of state, messages, processor time and memory over the size of the fleet. */
package org.geraniumproxy.measure.capacity;
