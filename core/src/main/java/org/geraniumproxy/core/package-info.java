/** The core module of geraniumproxy. */
package org.geraniumproxy.core;
