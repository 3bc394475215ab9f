/** Real node processes and the stand-ins that they are run with. */
package org.geraniumproxy.measure.process;
