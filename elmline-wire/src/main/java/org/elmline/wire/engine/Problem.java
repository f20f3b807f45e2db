package org.elmline.wire.engine;

/** Body of an answer that is not the result asked for. */
public record Problem(String why) {}
