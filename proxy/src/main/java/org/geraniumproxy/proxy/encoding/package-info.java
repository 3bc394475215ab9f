/** Encoding and decoding of core types as messages, shared by the front ends. Contains no decisions. */
package org.geraniumproxy.proxy.encoding;
