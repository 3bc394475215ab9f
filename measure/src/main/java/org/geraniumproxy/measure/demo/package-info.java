/** Demo that runs a deployment under load, isolates a primary and checks the guarantees. */
package org.geraniumproxy.measure.demo;
