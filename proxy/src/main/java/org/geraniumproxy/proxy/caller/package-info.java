/** Front end for callers. */
package org.geraniumproxy.proxy.caller;
