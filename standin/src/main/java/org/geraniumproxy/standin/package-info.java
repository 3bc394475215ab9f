/** The standin module of geraniumproxy. */
package org.geraniumproxy.standin;
