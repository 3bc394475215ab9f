package org.geraniumproxy.proxy.node;

import java.lang.annotation.Retention;
import java.lang.annotation.RetentionPolicy;
import javax.inject.Qualifier;

/** The executor of traffic threads, which are virtual. */
@Qualifier
@Retention(RetentionPolicy.RUNTIME)
@interface TrafficExecutor {}
