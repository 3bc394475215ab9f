/** Owner of the token buckets of this VM. */
package org.geraniumproxy.proxy.limit;
