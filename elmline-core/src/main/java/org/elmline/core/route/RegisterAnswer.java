package org.elmline.core.route;

import java.util.List;

import org.elmline.core.common.AttemptId;

/**
 * Attempts that the owner has not taken over, because it doesn't own their engine; the entry then tries the next
 * candidate.
 */
public record RegisterAnswer(List<AttemptId> notOwned) {
    public RegisterAnswer {
        notOwned = List.copyOf(notOwned);
    }
}
