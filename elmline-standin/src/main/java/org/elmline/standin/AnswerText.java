package org.elmline.standin;

import java.util.ArrayList;
import java.util.List;

import org.elmline.core.common.ModelName;
import org.elmline.core.engine.FinishReason;

/**
 * Deterministic answer of every stand-in engine. The pieces depend on model, adapter and prompt alone, their number
 * also on the maximum of output tokens, so that a test can compute the exact text and a continuation on another engine
 * generates the same pieces. The hash can be computed segment by segment, like the KV of a prompt that is larger than
 * one engine. Immutable.
 */
public final class AnswerText {
    private static final int LETTERS = 26;
    private static final long HASH_MULTIPLIER = 0x9e3779b97f4a7c15L;

    private final long hash;
    private final int pieceCount;
    private final FinishReason finishReason;

    private AnswerText(long hash, int count, FinishReason reason) {
        this.hash = hash;
        this.pieceCount = count;
        this.finishReason = reason;
    }

    public static AnswerText of(ModelName model, String adapter, String prompt, int maxOutputTokens) {
        return ofState(extend(initialState(model, adapter), prompt), maxOutputTokens);
    }

    /** Hash state before any prompt text. */
    public static long initialState(ModelName model, String adapter) {
        return extend(extend(1, model.value()) * HASH_MULTIPLIER, adapter == null ? "" : adapter) * HASH_MULTIPLIER;
    }

    /** Hash state after one more segment of the prompt; independent of where the prompt was split. */
    public static long extend(long state, String segment) {
        long next = state;
        for (int i = 0; i < segment.length(); i++) {
            next = next * 31 + segment.charAt(i);
        }
        return next;
    }

    public static AnswerText ofState(long state, int maxOutputTokens) {
        long hash = mix(state);
        int unlimitedCount = 1 + (int) Math.floorMod(mix(hash + 1), 2L * Math.max(1, maxOutputTokens));
        FinishReason reason = unlimitedCount > maxOutputTokens ? FinishReason.LENGTH : FinishReason.STOP;
        return new AnswerText(hash, Math.min(unlimitedCount, Math.max(1, maxOutputTokens)), reason);
    }

    /** Number of pieces, from 1 to the requested maximum of output tokens. */
    public int pieceCount() {
        return pieceCount;
    }

    public FinishReason finishReason() {
        return finishReason;
    }

    /** One piece: a space and a word of three to seven letters. */
    public String piece(int index) {
        long bits = mix(hash + index * HASH_MULTIPLIER);
        int length = 3 + (int) Math.floorMod(bits, 5L);
        StringBuilder word = new StringBuilder(length + 1).append(' ');
        for (int i = 0; i < length; i++) {
            bits = mix(bits);
            word.append((char) ('a' + Math.floorMod(bits, (long) LETTERS)));
        }
        return word.toString();
    }

    public List<String> pieces() {
        List<String> pieces = new ArrayList<>(pieceCount);
        for (int i = 0; i < pieceCount; i++) {
            pieces.add(piece(i));
        }
        return pieces;
    }

    /** The whole answer. */
    public String text() {
        return String.join("", pieces());
    }

    /** Finaliser of SplitMix64 (Steele, Lea and Flood 2014). */
    private static long mix(long value) {
        long bits = (value ^ (value >>> 30)) * 0xbf58476d1ce4e5b9L;
        bits = (bits ^ (bits >>> 27)) * 0x94d049bb133111ebL;
        return bits ^ (bits >>> 31);
    }
}
