/** The control module of geraniumproxy. */
package org.geraniumproxy.control;
