/** Owner threads, faults and replies that all stand-ins share. */
package org.geraniumproxy.standin.runtime;
