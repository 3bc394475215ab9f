/** The measure module of geraniumproxy. */
package org.geraniumproxy.measure;
