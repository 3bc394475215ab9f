/** The demo of a deployment. */
package org.geraniumproxy.measure.demo;
