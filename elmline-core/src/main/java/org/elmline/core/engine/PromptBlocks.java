package org.elmline.core.engine;

import java.util.ArrayList;
import java.util.List;

/**
 * Splits a prompt into the blocks by which engines cache prefixes. Entry and engine must use the same split: an entry
 * compares these hashes with those in an engine's cache events. Each hash covers the model, the adapter and all blocks
 * before it, so equal hashes mean an equal prefix. Stateless and thread-safe.
 */
public final class PromptBlocks {
    /** Tokens in one block. */
    public static final int BLOCK_TOKENS = 512;
    /** Characters counted as one token where no tokenizer is available. */
    public static final int CHARACTERS_PER_TOKEN = 4;

    private static final int BLOCK_CHARACTERS = BLOCK_TOKENS * CHARACTERS_PER_TOKEN;
    private static final long FNV_PRIME = 0x100000001b3L;

    private PromptBlocks() {}

    /** Tokens of a text, at least 1. */
    public static int tokenCount(String prompt) {
        return Math.max(1, (prompt.length() + CHARACTERS_PER_TOKEN - 1) / CHARACTERS_PER_TOKEN);
    }

    /** Whether no text follows a prompt's last whole block. */
    public static boolean endsWithWholeBlock(String prompt) {
        return !prompt.isEmpty() && prompt.length() % BLOCK_CHARACTERS == 0;
    }

    /** Chained hash of each whole leading block, first block first. */
    public static List<Long> blockHashes(String model, String adapter, String prompt) {
        long hash = chain(chain(0xcbf29ce484222325L, model, 0, model.length()), adapter, 0, adapter.length());
        int whole = prompt.length() / BLOCK_CHARACTERS;
        List<Long> hashes = new ArrayList<>(whole);
        for (int block = 0; block < whole; block++) {
            hash = chain(hash, prompt, block * BLOCK_CHARACTERS, (block + 1) * BLOCK_CHARACTERS);
            hashes.add(hash);
        }
        return hashes;
    }

    private static long chain(long start, String text, int from, int to) {
        long hash = start ^ (to - from);
        for (int i = from; i < to; i++) {
            hash = (hash ^ text.charAt(i)) * FNV_PRIME;
        }
        return hash ^ (hash >>> 29);
    }
}
