package org.elmline.core.engine;

import com.fasterxml.jackson.annotation.JsonTypeInfo;
import com.fasterxml.jackson.annotation.JsonTypeName;
import org.elmline.core.common.AttemptId;
import org.elmline.core.common.Ran;

/** One event of an engine's stream. Every event names its attempt, so that an event of another attempt is detected. */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "event")
public sealed interface StreamEvent {
    AttemptId attempt();

    /** One generated token; {@code index} counts from 0 over the whole answer. */
    @JsonTypeName("piece")
    record Piece(AttemptId attempt, int index, String text) implements StreamEvent {}

    /** The answer is complete: {@code count} pieces, those delivered by earlier attempts included. */
    @JsonTypeName("end")
    record End(AttemptId attempt, int count, FinishReason reason) implements StreamEvent {}

    /** The stream broke. {@code ran} is NO only when the engine refused before it ran. */
    @JsonTypeName("failed")
    record Failed(AttemptId attempt, Ran ran, String why) implements StreamEvent {}
}
