package org.elmline.core.route;

import com.fasterxml.jackson.annotation.JsonTypeInfo;
import com.fasterxml.jackson.annotation.JsonTypeName;
import org.elmline.core.common.Refusal;

/** An owner's final answer to a {@link PlaceRequest}. */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "type")
public sealed interface OwnerPlaceAnswer {
    /**
     * Memory is reserved; the requesting entry must release it.
     *
     * @param summary as in {@link Refused}; it keeps an entry with traffic up to date although summaries are sent at
     *     long intervals
     */
    @JsonTypeName("placed")
    record Placed(Grant grant, ModelSummary summary) implements OwnerPlaceAnswer {
        public Placed(Grant grant) {
            this(grant, null);
        }
    }

    /**
     * Nothing is reserved and nothing ran.
     *
     * @param summary the owner's current state of the model, so that the entry's next choice is not made on an older
     *     one; null when the owner has no engine of the model
     */
    @JsonTypeName("refused")
    record Refused(Refusal refusal, ModelSummary summary) implements OwnerPlaceAnswer {}
}
