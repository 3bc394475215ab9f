package org.geraniumproxy.proxy.node;

import java.lang.annotation.Retention;
import java.lang.annotation.RetentionPolicy;
import javax.inject.Qualifier;

/** The single-threaded executor that owns slot queues and connections. */
@Qualifier
@Retention(RetentionPolicy.RUNTIME)
@interface PoolExecutor {}
