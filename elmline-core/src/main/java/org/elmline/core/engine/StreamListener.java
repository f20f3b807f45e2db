package org.elmline.core.engine;

/** Receives one stream's events one after another, from one thread at a time. After End or Failed nothing follows. */
@FunctionalInterface
public interface StreamListener {
    void onEvent(StreamEvent event);
}
