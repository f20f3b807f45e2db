package org.elmline.daemon.openai;

/** The prompt found in a body, or why there is none. */
sealed interface Prompt {
    /** The text for the engine. */
    record Text(String text) implements Prompt {}

    /** The body has no prompt that elmline can serve. */
    record Invalid(String why) implements Prompt {}
}
