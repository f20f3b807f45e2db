package org.elmline.wire.engine;

/** Body of an error answer. */
public record Problem(String why) {}
