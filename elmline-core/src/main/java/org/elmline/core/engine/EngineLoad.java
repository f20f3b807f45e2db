package org.elmline.core.engine;

/**
 * Load as an engine reports it: open streams, KV tokens in use and prompt tokens not yet read. It arrives late and is
 * only a hint, never exact accounting.
 */
public record EngineLoad(int streams, long kvTokensUsed, long prefillBacklogTokens) {}
