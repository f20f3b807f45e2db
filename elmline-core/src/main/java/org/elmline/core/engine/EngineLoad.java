package org.elmline.core.engine;

/** Load as an engine reports it, late: a hint, never an account. */
public record EngineLoad(int streams, long kvTokensUsed, long prefillBacklogTokens) {}
