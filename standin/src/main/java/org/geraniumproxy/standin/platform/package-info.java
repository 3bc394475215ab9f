/** Stand-in of the platform's list of VMs. */
package org.geraniumproxy.standin.platform;
