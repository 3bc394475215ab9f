/** Stand-in for the platform's VM list. */
package org.geraniumproxy.standin.platform;
