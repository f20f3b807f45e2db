package org.elmline.daemon.openai;

/** The prompt of a request body, or the reason why it is invalid. */
sealed interface Prompt {
    /** The text for the engine. */
    record Text(String text) implements Prompt {}

    /** The body has no prompt that elmline can serve. */
    record Invalid(String why) implements Prompt {}
}
