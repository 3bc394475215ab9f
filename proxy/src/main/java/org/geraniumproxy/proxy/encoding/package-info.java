/** Translation between core types and messages, shared by the front ends. It decides nothing. */
package org.geraniumproxy.proxy.encoding;
