/** The control thread and its events. */
package org.geraniumproxy.proxy.control;
